package edge

import (
	"net"
	"syscall"
	"testing"
)

// Guards against accepted connections of forwarded requests that keep net/http's keep-alive of
// 15 s: a run would go on at its target long after its sender was cut off.
func TestForwardListenerKeepAlive(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	dialed, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer dialed.Close()
	c, err := keepAliveListener{l}.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	options := map[int]int{syscall.TCP_KEEPIDLE: int(forwardIdle.Seconds()), syscall.TCP_KEEPINTVL: int(forwardIdle.Seconds()), syscall.TCP_KEEPCNT: forwardProbes}
	err = raw.Control(func(fd uintptr) {
		for option, want := range options {
			if got, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option); err != nil || got != want {
				t.Errorf("option %d is %d, want %d; error: %v", option, got, want, err)
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
}

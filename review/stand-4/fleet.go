package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Machine is a front machine with its process of the program under test.
type Machine struct {
	Name, IP, Zone, Region string
	Store                  string // address
	Root                   string // of the repository
	Dir                    string // for the settings file and the log
	Zones                  map[string]string
	Seeds                  []string
	MemoryMb               int
	GraceS                 int
	Extra                  map[string]string // settings in place of the usual ones

	cmd  *exec.Cmd
	done chan struct{}
}

// Front returns the address for clients.
func (m *Machine) Front() string { return m.IP + ":8221" }

// Ready returns the address of the readiness check.
func (m *Machine) Ready() string { return m.IP + ":8224" }

// Control returns the address for other machines.
func (m *Machine) Control() string { return m.IP + ":8229" }

func (m *Machine) settings(first bool) string {
	s := map[string]string{}
	var b strings.Builder
	set := func(key, value string) {
		if v, ok := m.Extra[key]; ok {
			value = v
		}
		s[key] = value
		fmt.Fprintf(&b, "%s=%s\n", key, value)
	}
	set("Node", m.Name)
	set("Role", "edge")
	set("Class", "front")
	set("Serves", "front,directory,control")
	set("Ip", m.IP)
	set("Zone", m.Zone)
	set("Region", m.Region)
	for zone, region := range m.Zones {
		set("Zones."+zone, region)
	}
	set("Listen.Front", m.Front())
	set("Listen.ReadyAddr", m.Ready())
	set("Listen.Control", m.Control())
	set("Listen.Directory", m.IP+":8220")
	set("PortRange", "7600,7615")
	set("Seeds", strings.Join(m.Seeds, ","))
	set("Bootstrap", fmt.Sprint(first))
	set("InTolerance", "false")
	set("Limits.CpuShare", "0.4")
	set("Limits.Cores", "1")
	set("Limits.MemoryMb", fmt.Sprint(max(m.MemoryMb, 284)))
	set("Limits.MaxFds", "4100")
	set("Limits.LinkMbps", "1000.0")
	set("Limits.DiskMb", "0")
	set("Discovery", "platform")
	set("Entry", "directory")
	set("BeatMs", "1200")
	set("Contracts", "base,drain,config,cost,retry,recover,engine,stream,places,tenants,quota,platform")
	for key, value := range map[string]string{
		"SeedLagS": "3", "ReuseAfterS": "2", "StableMs": "5000", "AckMs": "6000", "CatchUpS": "4", "DrainMs": "3000", "GraceS": "8", "LostSlackMs": "200",
		"ConfigMs": "3000", "RollbackSlackMs": "250", "MaxStretchMs": "8000", "StrictRevoke": "false", "RevokeMs": "5000", "RetryRatio": "0.2", "BudgetWindowS": "10",
		"RetrySlack": "56", "QuotaWindowS": "8", "QuotaOver": "0.1", "QuotaSlack": "140000", "ColdOver": "1.5", "ColdSlack": "3", "EvacuateMs": "5000",
		"RecoveryS": "12", "PassMs": "600", "AgainS": "10", "ttl_max_s": "5",
	} {
		set("Bounds."+key, value)
	}
	set("Provider.Addr", m.Store)
	set("Provider.form", "kv")
	set("Provider.WritesPerS", "400")
	set("Provider.ReadsPerS", "2000")
	set("Provider.HistoryS", "20")
	set("Provider.ValueBytes", "1048576")
	set("Provider.TtlMinMs", "1000")
	return b.String()
}

// SettingsFile returns the path of the settings file.
func (m *Machine) SettingsFile() string { return filepath.Join(m.Dir, m.Name+".conf") }

// Start starts the process.
func (m *Machine) Start(first bool) error {
	if err := os.WriteFile(m.SettingsFile(), []byte(m.settings(first)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	binary := os.Getenv("PLATFORM_BINARY")
	if binary == "" {
		binary = filepath.Join(m.Root, "target", "platform")
	}
	cmd := exec.Command(binary)
	cmd.Dir = m.Root
	cmd.Env = []string{"CHERVILYARD_BOOT=" + m.SettingsFile(), "PATH=" + os.Getenv("PATH"), "HOME=" + m.Dir}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, make(chan struct{})
	done := m.done
	go func() {
		_ = cmd.Wait() // how it ended is in ProcessState
		_ = log.Close()
		close(done)
	}()
	return nil
}

// Signal sends a signal to the process.
func (m *Machine) Signal(s syscall.Signal) {
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s) // it may have ended
	}
}

// Kill kills the process and waits for its end.
func (m *Machine) Kill() {
	if m.cmd == nil {
		return
	}
	m.Signal(syscall.SIGCONT)
	m.Signal(syscall.SIGKILL)
	<-m.done
}

// Ended reports whether the process has ended.
func (m *Machine) Ended() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// IsReady asks for readiness.
func (m *Machine) IsReady() bool {
	status, _, err := get("http://" + m.Ready() + "/v1/readyz")
	return err == nil && status == 200
}

// AwaitReady waits until all machines are ready.
func AwaitReady(machines []*Machine, limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, m := range machines {
		for !m.IsReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// FreeNet returns a prefix of loopback addresses that nobody listens on.
func FreeNet() string {
	for n := range 230 {
		prefix := fmt.Sprintf("127.%d.7.", 20+(os.Getpid()+n)%230)
		l, err := net.Listen("tcp", prefix+"1:8221")
		if err == nil {
			_ = l.Close()
			return prefix
		}
	}
	return "127.10.7."
}

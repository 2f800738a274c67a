package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Place is a zone of one region.
type Place struct{ Zone, Region string }

// Front is one machine with a process of the project.
type Front struct {
	Name, IP  string
	Place     Place
	StoreAddr string
	MemoryMb  int
	Ports     Ports

	settings string // path
	fleet    *Fleet
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{} // closed when the process has ended
	log      *os.File
}

// Ports are the same on all machines.
type Ports struct{ Front, Ready, Control, Directory, First int }

// Fleet is the set of machines of a case.
type Fleet struct {
	Root   string // of the repository
	Dir    string // temporary
	Fronts []*Front
	Seeds  []string
	Places []Place
}

// NewFleet prepares the machines, without starting them: the number of machines in each place.
func NewFleet(root string, storeAddr string, places []Place, count []int) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Root: root, Dir: dir, Places: places}
	// Each machine has a loopback address of its own, unlike those of a script beside this one.
	third := 20 + os.Getpid()%200
	n := 0
	var ips []string
	for _, c := range count {
		for range c {
			n++
			ips = append(ips, fmt.Sprintf("127.%d.%d.%d", 30+os.Getpid()/200%200, third, n))
		}
	}
	ports, err := freePorts(ips)
	if err != nil {
		return nil, err
	}
	n = 0
	for i, p := range places {
		for j := range count[i] {
			f.Fronts = append(f.Fronts, &Front{
				Name: fmt.Sprintf("front-%s-%d", p.Zone, j+1), IP: ips[n], Place: p, StoreAddr: storeAddr, MemoryMb: 284, Ports: ports, fleet: f,
			})
			n++
		}
	}
	for i := 0; i < len(f.Fronts) && i < 3; i++ {
		f.Seeds = append(f.Seeds, f.Fronts[i].addr(ports.Control))
	}
	return f, nil
}

// freePorts returns ports that are free at all the addresses.
func freePorts(ips []string) (Ports, error) {
	for base := 18000 + os.Getpid()%500*20; base < 60000; base += 40 {
		free := true
		for _, ip := range ips {
			for p := base; p < base+30 && free; p++ {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return Ports{Front: base, Ready: base + 1, Control: base + 2, Directory: base + 3, First: base + 10}, nil
		}
	}
	return Ports{}, fmt.Errorf("no free ports")
}

func (m *Front) addr(port int) string { return fmt.Sprintf("%s:%d", m.IP, port) }

// WriteSettings writes the settings file of the machine.
func (m *Front) WriteSettings() error {
	var b strings.Builder
	p := m.Ports
	fmt.Fprintf(&b, "Node=%s\nRole=edge\nClass=front\nServes=front,control,directory\nIp=%s\nZone=%s\nRegion=%s\n", m.Name, m.IP, m.Place.Zone, m.Place.Region)
	for _, place := range m.fleet.Places {
		fmt.Fprintf(&b, "Zones.%s=%s\n", place.Zone, place.Region)
	}
	fmt.Fprintf(&b, "Listen.Front=%s\nListen.ReadyAddr=%s\nListen.Control=%s\nListen.Directory=%s\nPortRange=%d,%d\nSeeds=%s\n",
		m.addr(p.Front), m.addr(p.Ready), m.addr(p.Control), m.addr(p.Directory), p.First, p.First+15, strings.Join(m.fleet.Seeds, ","))
	fmt.Fprintf(&b, `Bootstrap=true
InTolerance=false
Limits.CpuShare=0.4
Limits.Cores=1
Limits.MemoryMb=%d
Limits.MaxFds=4100
Limits.LinkMbps=1000.0
Limits.DiskMb=0
Discovery=platform
Entry=directory
BeatMs=1200
Contracts=base,drain,config,cost,retry,recover,engine,stream,places,tenants,quota,platform
Tolerate.Machines=2
Tolerate.Zones=1
Tolerate.Regions=1
Bounds.SeedLagS=3
Bounds.ReuseAfterS=2
Bounds.StableMs=5000
Bounds.AckMs=6000
Bounds.CatchUpS=4
Bounds.DrainMs=3000
Bounds.GraceS=8
Bounds.LostSlackMs=200
Bounds.ConfigMs=3000
Bounds.RollbackSlackMs=250
Bounds.MaxStretchMs=8000
Bounds.StrictRevoke=false
Bounds.RevokeMs=5000
Bounds.RetryRatio=0.2
Bounds.BudgetWindowS=10
Bounds.RetrySlack=56
Bounds.QuotaWindowS=8
Bounds.QuotaOver=0.1
Bounds.QuotaSlack=140000
Bounds.ColdOver=1.5
Bounds.ColdSlack=3
Bounds.EvacuateMs=5000
Bounds.RecoveryS=12
Bounds.PassMs=600
Bounds.AgainS=10
Bounds.ttl_max_s=5
Provider.Addr=%s
Provider.form=kv
Provider.WritesPerS=400
Provider.ReadsPerS=2000
Provider.HistoryS=20
Provider.ValueBytes=1048576
Provider.TtlMinMs=1000
`, m.MemoryMb, m.StoreAddr)
	m.settings = filepath.Join(m.fleet.Dir, m.Name+".conf")
	next := m.settings + ".new"
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, m.settings)
}

// Start starts the process with the command of the deploy file.
func (m *Front) Start() error {
	log, err := os.OpenFile(filepath.Join(m.fleet.Dir, m.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.fleet.Root, "target/platform"))
	cmd.Dir = m.fleet.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.Dir, "LANG=C", "CHERVILYARD_BOOT=" + m.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.cmd, m.ended, m.log = cmd, ended, log
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// Pid returns the id of the process.
func (m *Front) Pid() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cmd.Process.Pid
}

// Signal sends a signal to the process.
func (m *Front) Signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.cmd.Process.Signal(s)
}

// Ended returns a channel that is closed when the process has ended.
func (m *Front) Ended() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.ended
}

// StartAll starts all machines and waits until they are ready.
func (f *Fleet) StartAll() error {
	for _, m := range f.Fronts {
		if err := m.WriteSettings(); err != nil {
			return err
		}
		if err := m.Start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, m := range f.Fronts {
		for !m.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s is not ready", m.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Ready asks the machine whether it is ready, as the platform does.
func (m *Front) Ready() bool {
	r, err := get(m.addr(m.Ports.Ready), "/v1/readyz", time.Second)
	return err == nil && r.status == 200
}

// Close ends all processes and removes the temporary folder.
func (f *Fleet) Close() {
	for _, m := range f.Fronts {
		if m.cmd != nil {
			m.Signal(syscall.SIGKILL)
			<-m.Ended()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", f.Dir)
		return
	}
	_ = os.RemoveAll(f.Dir)
}

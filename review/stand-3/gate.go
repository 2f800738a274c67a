package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// gate is one process of the deploy file's program, on its own loopback address.
type gate struct {
	name, ip, zone                           string
	front, ready, control, directory, ranges string
	settings                                 string
	cmd                                      *exec.Cmd
	logs                                     *os.File
}

// freePort returns a port that is free on the address now.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

func newGate(dir, name, ip, zone string) (*gate, error) {
	g := &gate{name: name, ip: ip, zone: zone, settings: filepath.Join(dir, name+".conf")}
	for _, p := range []*string{&g.front, &g.ready, &g.control, &g.directory} {
		port, err := freePort(ip)
		if err != nil {
			return nil, err
		}
		*p = fmt.Sprintf("%s:%d", ip, port)
	}
	port, err := freePort(ip)
	if err != nil {
		return nil, err
	}
	g.ranges = fmt.Sprintf("%d,%d", port, min(port+15, 65535))
	return g, nil
}

// zones lists the zones of the deployment and their regions.
var zones = [][2]string{{"zagreb-a", "zagreb"}, {"split-a", "split"}, {"osijek-a", "osijek"}}

func regionOf(zone string) string {
	for _, z := range zones {
		if z[0] == zone {
			return z[1]
		}
	}
	return ""
}

// writeSettings writes the settings file with the figures of the sheet of dnevnik-yard.
func (g *gate) writeSettings(storeAddr string, seeds []string) error {
	var b strings.Builder
	for _, line := range [][2]string{
		{"Node", g.name}, {"Role", "edge"}, {"Class", "front"}, {"Serves", "front,control,directory"}, {"Ip", g.ip},
		{"Zone", g.zone}, {"Region", regionOf(g.zone)},
		{"Zones.zagreb-a", "zagreb"}, {"Zones.split-a", "split"}, {"Zones.osijek-a", "osijek"},
		{"Listen.Front", g.front}, {"Listen.ReadyAddr", g.ready}, {"Listen.Control", g.control}, {"Listen.Directory", g.directory},
		{"PortRange", g.ranges}, {"Seeds", strings.Join(seeds, ",")}, {"Bootstrap", "true"}, {"InTolerance", "false"},
		{"Limits.CpuShare", "0.4"}, {"Limits.Cores", "1"}, {"Limits.MemoryMb", "284"}, {"Limits.MaxFds", "4100"}, {"Limits.LinkMbps", "1000.0"}, {"Limits.DiskMb", "0"},
		{"Discovery", "platform"}, {"Entry", "directory"}, {"BeatMs", "1200"},
		{"Contracts", "base,drain,config,cost,retry,recover,engine,stream,places,tenants,quota,platform"},
		{"Tolerate.Machines", "2"}, {"Tolerate.Zones", "1"}, {"Tolerate.Regions", "1"},
		{"Bounds.SeedLagS", "3"}, {"Bounds.ReuseAfterS", "2"}, {"Bounds.StableMs", "5000"}, {"Bounds.AckMs", "6000"}, {"Bounds.CatchUpS", "4"},
		{"Bounds.DrainMs", "3000"}, {"Bounds.GraceS", "8"}, {"Bounds.LostSlackMs", "200"}, {"Bounds.ConfigMs", "3000"}, {"Bounds.RollbackSlackMs", "250"},
		{"Bounds.MaxStretchMs", "8000"}, {"Bounds.StrictRevoke", "false"}, {"Bounds.RevokeMs", "5000"}, {"Bounds.RetryRatio", "0.2"}, {"Bounds.BudgetWindowS", "10"},
		{"Bounds.RetrySlack", "56"}, {"Bounds.QuotaWindowS", "8"}, {"Bounds.QuotaOver", "0.1"}, {"Bounds.QuotaSlack", "140000"}, {"Bounds.ColdOver", "1.5"},
		{"Bounds.ColdSlack", "3"}, {"Bounds.EvacuateMs", "5000"}, {"Bounds.RecoveryS", "12"}, {"Bounds.PassMs", "600"}, {"Bounds.AgainS", "10"}, {"Bounds.ttl_max_s", "5"},
		{"Provider.Addr", storeAddr}, {"Provider.form", "kv"}, {"Provider.WritesPerS", "400"}, {"Provider.ReadsPerS", "2000"}, {"Provider.HistoryS", "20"},
		{"Provider.ValueBytes", "1048576"}, {"Provider.TtlMinMs", "1000"},
	} {
		b.WriteString(line[0] + "=" + line[1] + "\n")
	}
	return os.WriteFile(g.settings, []byte(b.String()), 0o644)
}

// start runs the command of the deploy file in the root of the repository.
func (g *gate) start(root string) error {
	logs, err := os.Create(strings.TrimSuffix(g.settings, ".conf") + ".log")
	if err != nil {
		return err
	}
	g.logs = logs
	g.cmd = exec.Command("target/platform")
	g.cmd.Path = filepath.Join(root, "target/platform")
	g.cmd.Dir = root
	g.cmd.Env = []string{"CHERVILYARD_BOOT=" + g.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C"}
	g.cmd.Stdout, g.cmd.Stderr = logs, logs
	if err := g.cmd.Start(); err != nil {
		return err
	}
	return notePID(g.cmd.Process.Pid)
}

// notePID adds a process to the file that run.sh names, so that it ends those that are left.
func notePID(pid int) error {
	name := os.Getenv("PIDS")
	if name == "" {
		return nil
	}
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer f.Close()
	_, err = fmt.Fprintln(f, pid)
	return err
}

// waitReady waits until the instance says that it is ready.
func (g *gate) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + g.ready + "/v1/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(g.name + " did not become ready")
}

// kill ends the process if it still runs.
func (g *gate) kill() {
	if g.cmd == nil || g.cmd.Process == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	_ = g.cmd.Wait()
	g.cmd = nil
	_ = g.logs.Close()
}

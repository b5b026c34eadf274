package main

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"
)

// instance is one process of the system.
type instance struct {
	w                    *world
	name, zone           string
	data, ready, control netip.AddrPort
	seeds                []netip.AddrPort
	cmd                  *exec.Cmd
	log                  *os.File
	done                 chan struct{}
}

// runCommand returns the command of the deploy file.
func runCommand() ([]string, error) {
	b, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(b)
	if m == nil {
		return nil, fmt.Errorf("no command in deploy/system.toml")
	}
	return strings.Fields(string(m[1])), nil
}

// startInstance starts a process with the settings of a small deployment.
func (w *world) startInstance(name, zone string, ip netip.Addr, seeds []netip.AddrPort, bootstrap bool) (*instance, error) {
	at := func(port uint16) netip.AddrPort { return netip.AddrPortFrom(ip, port) }
	i := &instance{w: w, name: name, zone: zone, data: at(w.dataPort), ready: at(w.readyPort), control: at(w.controlPort), seeds: seeds}
	return i, i.start(bootstrap)
}

func (i *instance) start(bootstrap bool) error {
	w := i.w
	file, err := i.writeSettings(bootstrap)
	if err != nil {
		return err
	}
	if i.log, err = os.OpenFile(filepath.Join(w.dir, i.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	i.cmd = exec.Command(w.command[0], w.command[1:]...)
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", "EBONYPADDLE_BOOT=" + file}
	i.cmd.Stdout, i.cmd.Stderr = i.log, i.log
	i.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := i.cmd.Start(); err != nil {
		return err
	}
	w.note("%s of %s started", i.name, i.zone)
	done := make(chan struct{})
	i.done = done
	cmd, log := i.cmd, i.log
	go func() {
		_ = cmd.Wait() // its end is noted by whoever ends it
		_ = log.Close()
		close(done)
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, other := range w.instances {
		if other == i {
			return nil
		}
	}
	w.instances = append(w.instances, i)
	return nil
}

// writeSettings writes the settings file of the process and returns its path.
func (i *instance) writeSettings(bootstrap bool) (file string, err error) {
	w := i.w
	zones := map[string]string{}
	for _, z := range w.zones {
		zones[z] = "fi-south"
	}
	settings := map[string]any{
		"Node": i.name, "Role": "entry", "Class": "edge", "Serves": []string{"edge", "control"},
		"Ip": i.data.Addr().String(), "Zone": i.zone, "Region": "fi-south", "Zones": zones,
		"Listen":    map[string]any{"DataAddr": i.data, "Ready": i.ready, "Control": i.control},
		"PortRange": []int{7720, 7735}, "Seeds": i.seeds, "Bootstrap": bootstrap, "InFaultBudget": false,
		"Limits":  map[string]any{"CpuShare": 0.088, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"DataDir": nil, "Discovery": "platform", "Entry": "announce", "HeartbeatMs": heartbeat.Milliseconds(),
		"Contracts":      []string{"base", "drain", "config", "cost", "recover", "flows", "places", "platform"},
		"FaultTolerance": map[string]int{"Machines": 2, "Zones": 1, "Regions": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000, "GraceS": 6,
			"LossSlackMs": 200, "ApplyMs": 3000, "DowngradeMs": 250, "MaxSkewMs": 12000, "ColdOver": coldOver, "ColdSlack": coldSlack,
			"EvacuateMs": 5000, "RecoveryS": 12, "ReorderMs": 2000, "FlowTtlS": 60,
		},
		"Hash": "mod", "Forwarding": "echo",
		"platform": map[string]any{"Address": w.store.addr, "Forwarding": "objects", "WritesPerS": 400, "ReadsPerS": 2000, "RetentionS": 20, "ValueBytes": 1 << 20, "TtlMinMs": 1000},
	}
	if i.name == w.largest {
		settings["Limits"] = map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0}
	}
	b, err := json.Marshal(settings)
	if err != nil {
		return "", err
	}
	file = filepath.Join(w.dir, i.name+".json")
	return file, os.WriteFile(file, b, 0o600)
}

// changeSeeds changes the seeds in the settings file.
func (i *instance) changeSeeds(seeds []netip.AddrPort) error {
	i.seeds = seeds
	_, err := i.writeSettings(false)
	return err
}

// removeInstance forgets a machine that is gone for good.
func (w *world) removeInstance(i *instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.instances = slices.DeleteFunc(w.instances, func(o *instance) bool { return o == i })
}

// kill ends the process at once and waits until it is gone.
func (i *instance) kill() {
	_ = i.cmd.Process.Kill() // it may have ended
	<-i.done
	i.w.note("%s killed", i.name)
}

func (i *instance) signal(s syscall.Signal) {
	_ = i.cmd.Process.Signal(s) // it may have ended
	i.w.note("%s got %v", i.name, s)
}

// stopAll ends all processes.
func (w *world) stopAll() {
	w.mu.Lock()
	instances := append([]*instance(nil), w.instances...)
	w.mu.Unlock()
	for _, i := range instances {
		_ = i.cmd.Process.Signal(syscall.SIGCONT) // a stopped process too
		_ = i.cmd.Process.Kill()
		select {
		case <-i.done:
		case <-time.After(2 * time.Second):
		}
	}
}

// printLogs prints the last lines that each process wrote.
func (w *world) printLogs() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		b, err := os.ReadFile(filepath.Join(w.dir, i.name+".log"))
		fmt.Fprintf(os.Stderr, "%s: %s %v\n", i.name, b[max(len(b)-300, 0):], err)
	}
}

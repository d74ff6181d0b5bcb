package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The command of deploy/system.toml; the platform's variable names the settings file.
const (
	routerProgram    = "target/platform"
	settingsVariable = "DOTTERELTACK_NODE_FILE"
	memoryMB         = 284 // Of an edge machine of the site afis-ruta.
)

// Router is a process of the project on one machine, which has a loopback address of its own.
type Router struct {
	Name     string
	IP       string
	Zone     string
	Frontend string // Address for clients.
	Ready    string // Address of the readiness probe.

	settings string
	log      *os.File
	command  *exec.Cmd
	ended    chan struct{}
}

// Fleet is a small deployment: a store and routers in the zones of the site.
type Fleet struct {
	Store   *Store
	Routers []*Router
	Dir     string // Temporary folder for settings and logs.
	Record  *Record
	network string // First three numbers of the loopback addresses.
}

// NewFleet starts a store.
func NewFleet(record *Record) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Dir: dir, Record: record, network: fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))}
	f.Store, err = StartStore(f.IP(1))
	return f, err
}

// IP returns a loopback address of the deployment.
func (f *Fleet) IP(n int) string { return f.network + "." + strconv.Itoa(n) }

// zones are those of the site.
var zones = []string{"centru-a", "centru-b", "centru-c"}

// AddRouter starts a router on a machine in the nth zone.
func (f *Fleet) AddRouter(zone int) (*Router, error) {
	n := len(f.Routers) + 1
	ip := f.IP(100 + n)
	r := &Router{
		Name: fmt.Sprintf("edge-%s-%d", zones[zone], n), IP: ip, Zone: zones[zone],
		Frontend: ip + ":8227", Ready: ip + ":8220",
	}
	settings := map[string]any{
		"nodeName": r.Name, "role": "router", "machineClass": "edge", "serves": []string{"edge"}, "ip": ip, "zone": r.Zone, "region": "ro-centru",
		"zones":  map[string]string{"centru-a": "ro-centru", "centru-b": "ro-centru", "centru-c": "ro-centru"},
		"listen": map[string]string{"frontend": r.Frontend, "ready": r.Ready}, "portRange": []int{7340, 7355}, "seeds": []string{},
		"bootstrap": true, "inTolerance": false,
		"limits":  map[string]any{"cpuQuota": 0.4, "cores": 1, "memoryMb": memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 0},
		"dataDir": nil, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200,
		"contracts":      []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "places", "platform"},
		"faultTolerance": map[string]int{"machines": 2, "zones": 1, "regions": 0},
		"bounds": map[string]any{
			"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4, "drainMs": 2000, "graceS": 8, "lossSlackMs": 200,
			"configApplyMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "failClosed": false, "revokeMs": 5000, "retryRatio": 0.2, "retryWindowS": 10,
			"retrySlack": 56, "coldFactor": 1.5, "coldTolerance": 5, "evacuateMs": 5000, "recoveryS": 12, "maxLagMs": 120, "reuseWindowS": 10, "capFactor": 2,
		},
		"platform": map[string]any{
			"address": f.Store.Address, "form": "kv", "writesPerS": 400, "readsPerS": 2000, "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000,
		},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	r.settings = filepath.Join(f.Dir, r.Name+".json")
	if err := os.WriteFile(r.settings, text, 0o600); err != nil {
		return nil, err
	}
	if r.log, err = os.Create(filepath.Join(f.Dir, r.Name+".log")); err != nil {
		return nil, err
	}
	f.Routers = append(f.Routers, r)
	return r, r.Start()
}

// Start starts the process.
func (r *Router) Start() error {
	r.command = exec.Command(routerProgram, "route", "--metrics-port", "9464")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVariable + "=" + r.settings}
	r.command.Stdout, r.command.Stderr = r.log, r.log
	if err := r.command.Start(); err != nil {
		return err
	}
	r.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		_ = c.Wait()
		close(ended)
	}(r.command, r.ended)
	return nil
}

// Signal sends a signal to the process.
func (r *Router) Signal(s syscall.Signal) { _ = r.command.Process.Signal(s) }

// HasEnded reports whether the process has ended.
func (r *Router) HasEnded() bool {
	select {
	case <-r.ended:
		return true
	default:
		return false
	}
}

// Kill kills the process and waits for its end.
func (r *Router) Kill() {
	r.Signal(syscall.SIGKILL)
	<-r.ended
}

// ResidentMB returns the memory of the process.
func (r *Router) ResidentMB() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.command.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(value, "kB")))
			return n / 1024
		}
	}
	return 0
}

// AwaitReady waits until the router answers the platform's readiness probe with 200.
func (r *Router) AwaitReady(limit time.Duration) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + r.Ready + "/api/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Close ends all processes that were started and removes the temporary folder unless KEEP is set.
func (f *Fleet) Close() {
	for _, r := range f.Routers {
		if r.command != nil && r.command.Process != nil {
			r.Kill()
		}
		_ = r.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Dir)
		return
	}
	fmt.Println(f.Dir)
}

// listen listens at a free port of ip.
func listen(ip string) (net.Listener, error) { return net.Listen("tcp", net.JoinHostPort(ip, "0")) }

// Log returns the lines of the router's log that contain text.
func (r *Router) Log(text string) []string {
	content, _ := os.ReadFile(r.log.Name())
	var lines []string
	for _, line := range bytes.Split(content, []byte("\n")) {
		if bytes.Contains(line, []byte(text)) {
			lines = append(lines, string(line))
		}
	}
	return lines
}

// ChangeSettings writes another bound into the settings file of the router.
func (r *Router) ChangeSettings() error {
	text, err := os.ReadFile(r.settings)
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings, bytes.Replace(text, []byte(`"retrySlack":56`), []byte(`"retrySlack":57`), 1), 0o600)
}

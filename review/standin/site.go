package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the sheet of snaga-lm.
const (
	heartbeatMillis = 1200
	drainMillis     = 2000
	graceSeconds    = 8
	lossSlackMillis = 200
	// stableMillis is stable_window_ms: a machine is in touch after that time without disruption.
	stableMillis = 3000
	// leadMillis is the time from the start of the processes to the start of traffic (10 s on the
	// sheet's days, shorter here).
	leadMillis = 5000
	// restartMillis is the delay after which the platform starts a process again that has ended.
	restartMillis = 500
)

// site is a small deployment on loopback addresses.
type site struct {
	root string // root of the repository
	dir  string // temporary folder
	net  string // first three parts of the loopback addresses of this run
	rec  *record

	store   *store
	entries []*process
	servers []*server
	ports   ports

	mu        sync.Mutex
	processes []*process
	closing   bool
	wg        sync.WaitGroup
}

// ports are the same on all machines.
type ports struct{ front, ready, control, peer, metrics, app, store int }

func newSite(root string, rec *record) *site {
	dir, err := os.MkdirTemp("", "review-")
	must(err)
	// Scripts that run at the same time use other addresses.
	s := &site{root: root, dir: dir, rec: rec, net: fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), rand.IntN(256))}
	p := s.freePorts(7)
	s.ports = ports{p[0], p[1], p[2], p[3], p[4], p[5], p[6]}
	s.store = newStore(addr(s.ip(storeIP), s.ports.store))
	return s
}

// The last parts of the addresses of the store, and of those before the first entry host and the first
// replica.
const (
	storeIP     = 1
	entryIPs    = 10
	serverIPs   = 20
	maxMachines = 9
)

// ip returns one of the addresses of the site.
func (s *site) ip(last int) string { return fmt.Sprintf("%s.%d", s.net, last) }

// freePorts returns ports that nothing listens on at the addresses of the site.
func (s *site) freePorts(n int) []int {
	var found []int
	for len(found) < n {
		port := 20000 + rand.IntN(12000)
		if s.isFree(port) && !slices.Contains(found, port) {
			found = append(found, port)
		}
	}
	return found
}

// isFree reports whether nothing listens on a port at the addresses of the site.
func (s *site) isFree(port int) bool {
	ips := []string{s.ip(storeIP)}
	for i := range maxMachines {
		ips = append(ips, s.ip(entryIPs+i+1), s.ip(serverIPs+i+1))
	}
	for _, ip := range ips {
		l, err := net.Listen("tcp", addr(ip, port))
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// process is a process of the system.
type process struct {
	site     *site
	name     string
	args     []string
	settings string
	ip       string

	mu      sync.Mutex
	running *os.Process
	// exits are the times at which the process ended by itself.
	exits []time.Time
	// stopped says that the process must not be started again.
	stopped bool
	// termAt is the time of the SIGTERM that was sent, if any.
	termAt time.Time
}

// addEntry adds one of a number of entry hosts; start starts it. Three of them are the seeds.
func (s *site) addEntry(zone string, entries int) *process {
	n := len(s.entries) + 1
	ip := s.ip(entryIPs + n)
	p := &process{site: s, name: fmt.Sprintf("entry-%d", n), args: []string{"direct-entry"}, ip: ip}
	s.entries = append(s.entries, p)
	readers := []string{}
	for i := 1; i <= min(entries, 3); i++ {
		readers = append(readers, addr(s.ip(entryIPs+i), s.ports.control))
	}
	p.settings = s.write(p.name, map[string]any{
		"Name": p.name, "Zone": zone,
		"CallerAddress": addr(ip, s.ports.front), "ReadyAddress": addr(ip, s.ports.ready),
		"HostAddress": ip, "ControlAddress": addr(ip, s.ports.control), "Readers": readers,
		"PeerPort": s.ports.peer, "MetricsPort": s.ports.metrics, "StoreAddress": s.store.address,
		"MemoryMegabytes": 134, "GraceSeconds": graceSeconds, "RevokeMillis": 5000, "ApplyMillis": 2000,
		"DrainMillis": drainMillis, "RetryRatio": 0.2, "RetrySlack": 56, "RetryWindowSeconds": 10,
	})
	s.processes = append(s.processes, p)
	return p
}

// addServer adds a replica; one with an engine has a process of the system beside it.
func (s *site) addServer(service, zone string, slots int, engine bool) *server {
	n := len(s.servers) + 1
	ip := s.ip(serverIPs + n)
	sv := newServer(s, fmt.Sprintf("i-%08x", rand.Uint32()), service, zone, addr(ip, s.ports.app), slots, engine)
	s.servers = append(s.servers, sv)
	if engine {
		p := &process{site: s, name: fmt.Sprintf("side-%d", n), args: []string{"direct-backend"}, ip: ip}
		p.settings = s.write(p.name, map[string]any{
			"Name": p.name, "Zone": zone, "HostAddress": ip, "PeerPort": s.ports.peer, "MetricsPort": s.ports.metrics,
			"EngineAddress": sv.address, "MemoryMegabytes": 216,
		})
		s.processes = append(s.processes, p)
	}
	return sv
}

func addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, port) }

func (s *site) write(name string, settings any) string {
	data, err := json.MarshalIndent(settings, "", "  ")
	must(err)
	path := filepath.Join(s.dir, name+".json")
	must(os.WriteFile(path, data, 0o600))
	return path
}

// start starts the store, the replicas and the processes, and waits until the entry hosts are ready.
func (s *site) start() {
	s.store.start()
	for _, sv := range s.servers {
		sv.start()
	}
	for _, p := range s.processes {
		p.start()
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, p := range s.entries {
		for !p.ready() {
			if time.Now().After(deadline) {
				cannotRun("%s is not ready", p.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(leadMillis * time.Millisecond)
}

// ready asks an entry host as the platform does.
func (p *process) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + addr(p.ip, p.site.ports.ready) + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (p *process) front() string { return addr(p.ip, p.site.ports.front) }

// start starts the process with the command of the deploy file, and again whenever it has ended.
func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.stopped {
		return
	}
	program := filepath.Join(p.site.root, "target", "fulmarvalve")
	env := []string{"FULMARVALVE_CONFIG=" + p.settings}
	for _, name := range []string{"PATH", "HOME", "LANG"} {
		if v, ok := os.LookupEnv(name); ok {
			env = append(env, name+"="+v)
		}
	}
	out, err := os.OpenFile(filepath.Join(p.site.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	in, err := os.Open(os.DevNull)
	must(err)
	running, err := os.StartProcess(program, append([]string{program}, p.args...),
		&os.ProcAttr{Dir: p.site.root, Env: env, Files: []*os.File{in, out, out}})
	_, _ = in.Close(), out.Close()
	if err != nil {
		cannotRun("start %s: %v", p.name, err)
	}
	p.running = running
	p.site.rec.note("process %s starts: target/fulmarvalve %s, pid %d", p.name, strings.Join(p.args, " "), running.Pid)
	p.site.wg.Go(func() { p.await(running) })
}

// await waits for the end of the process and starts it again if it ended by itself.
func (p *process) await(running *os.Process) {
	state, _ := running.Wait()
	p.mu.Lock()
	stopped := p.stopped
	own := !stopped && p.termAt.IsZero()
	if own {
		p.exits = append(p.exits, time.Now())
	}
	p.mu.Unlock()
	if own {
		p.site.rec.note("process %s ended by itself: %v; %s", p.name, state, p.lastWords())
	} else if !p.site.isClosing() {
		p.site.rec.note("process %s ended: %v", p.name, state)
	}
	if !own {
		return
	}
	time.Sleep(restartMillis * time.Millisecond)
	if !p.site.isClosing() {
		p.start()
	}
}

// lastWords returns the line in the log that says why the process ended.
func (p *process) lastWords() string {
	data, err := os.ReadFile(filepath.Join(p.site.dir, p.name+".log"))
	if err != nil {
		return ""
	}
	words := ""
	lines := strings.Split(string(data), "\n")
	for i, line := range lines {
		if strings.HasPrefix(line, "panic:") || strings.HasPrefix(line, "fatal error:") {
			words = line
			for _, later := range lines[i:] {
				if strings.HasPrefix(later, "github.com/fulmarvalve") {
					words += " in " + later
					break
				}
			}
		}
	}
	return words
}

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if sig == syscall.SIGTERM {
		p.termAt = time.Now()
	}
	p.site.rec.note("process %s gets %v", p.name, sig)
	_ = p.running.Signal(sig)
}

func (s *site) isClosing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closing
}

// stop ends all processes and removes the temporary folder.
func (s *site) stop() {
	s.mu.Lock()
	s.closing = true
	s.mu.Unlock()
	for _, p := range s.processes {
		p.mu.Lock()
		p.stopped = true
		if p.running != nil {
			_ = p.running.Kill()
		}
		p.mu.Unlock()
	}
	s.wg.Wait()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Println("logs in", s.dir)
	}
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// current is the site whose processes must be ended before the program ends.
var current *site

// background holds what goes on until the program ends.
var background sync.WaitGroup

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if current != nil {
		current.stop()
	}
	os.Exit(2)
}

// record is what record.txt holds.
type record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	must(err)
	return &record{began: time.Now(), file: f}
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small installation, as its sheet states them.
const (
	drainMillis  = 2000
	applyMillis  = 2000
	revokeMillis = 5000
	graceSeconds = 8
)

// site is an installation with stand-ins for all but the project's own processes, which run.sh starts.
type site struct {
	directory string
	trace     *trace
	store     *store
	group     sync.WaitGroup
	storeAt   string
	peerPort  int
	servers   []*server
	entries   []entryHost
	version   int
	// keys are the API keys of the tenant of the callers.
	keys []string
}

// entryHost holds the addresses of one entry host.
type entryHost struct {
	name, caller, ready, control string
}

func newSite(directory string, t *trace) (*site, error) {
	s := &site{directory: directory, trace: t, store: newStore(), version: 1, keys: []string{apiKey}, peerPort: freePort("127.0.0.1")}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.storeAt = listener.Addr().String()
	s.group.Go(func() { _ = http.Serve(listener, s.store) }) //nolint:gosec // a stand-in needs no timeouts
	return s, nil
}

// freePort returns a port that is free at an address.
func freePort(ip string) int {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func freeAddress(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(freePort(ip))) }

// addServer starts a server. An engine has an IP address of its own, and a monitor beside it.
func (s *site) addServer(r *server) error {
	ip := fmt.Sprintf("127.0.0.%d", 11+len(s.servers))
	r.trace, r.store, r.zone = s.trace, s.store, "zg-hall-a"
	if err := r.serve(&s.group, ip+":0"); err != nil {
		return err
	}
	s.servers = append(s.servers, r)
	if !r.engine {
		return nil
	}
	return s.write("backend-"+r.id, map[string]any{
		"Name": "side-" + r.id, "Zone": r.zone, "HostAddress": ip, "PeerPort": s.peerPort, "MetricsPort": freePort(ip),
		"EngineAddress": r.ownAddress, "MemoryMegabytes": 216, "GraceSeconds": graceSeconds,
	})
}

// paths are the addresses at which an entry host reaches the store, the first entry host, which reads the store for
// others, and the processes beside engines.
type paths struct {
	store, reader string
	peerPort      int
}

// addEntry writes the settings of an entry host.
func (s *site) addEntry() error { return s.addEntryVia(paths{store: s.storeAt, peerPort: s.peerPort}) }

// addEntryVia is addEntry for one that reaches the others by some paths.
func (s *site) addEntryVia(p paths) error {
	const ip = "127.0.0.1"
	e := entryHost{fmt.Sprintf("entry-%d", len(s.entries)+1), freeAddress(ip), freeAddress(ip), freeAddress(ip)}
	s.entries = append(s.entries, e)
	if p.reader == "" {
		p.reader = s.entries[0].control
	}
	return s.write(e.name, map[string]any{
		"Name": e.name, "Zone": "zg-hall-a", "CallerAddress": e.caller, "ReadyAddress": e.ready, "HostAddress": ip,
		"ControlAddress": e.control, "Readers": []string{p.reader}, "PeerPort": p.peerPort, "MetricsPort": freePort(ip),
		"StoreAddress": p.store, "MemoryMegabytes": 134, "MaxDescriptors": 4100, "GraceSeconds": graceSeconds,
		"RevokeMillis": revokeMillis, "ApplyMillis": applyMillis, "DrainMillis": drainMillis,
		"RetryRatio": 0.2, "RetrySlack": 56, "RetryWindowSeconds": 10,
	})
}

func (s *site) write(name string, settings map[string]any) error {
	data, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.directory, name+".json"), data, 0o600)
}

// route is a route of the configuration.
type route = map[string]any

// configure writes a configuration, as the operator does.
func (s *site) configure(routes ...route) {
	data, _ := json.Marshal(map[string]any{
		"version": s.version,
		"routes":  routes,
		"services": []any{
			map[string]any{"name": "coach-lm", "engine": map[string]any{"kv_capacity": 34267, "kv_token_bytes": 10000, "link_mbps": 2000, "stride": 4}},
			map[string]any{"name": "gym-desk"},
			map[string]any{"name": "gym-shop"},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "hall-a", "api_keys": s.keys}, map[string]any{"name": "hall-b", "api_keys": []string{"key-of-hall-b"}}},
	})
	s.trace.printf("operator writes version %d, keys of hall-a: %q", s.version, s.keys)
	s.version += 3
	s.store.put("keyed.op", "config", data)
}

func newRoute(name, path, kind, service string, timeoutMillis, sloMillis, attempts int) route {
	return route{
		"name": name, "host": siteHost, "path_prefix": path, "kind": kind, "service": service, "timeout_ms": timeoutMillis,
		"slo_ms": sloMillis, "gap_aim_ms": 180, "priority": 1, "max_attempts": attempts, "resumable": false,
	}
}

// awaitReady tells run.sh to start the processes, and waits until all entry hosts are ready.
func (s *site) awaitReady() error {
	if err := os.WriteFile(filepath.Join(s.directory, "settings.ready"), nil, 0o600); err != nil {
		return err
	}
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, e := range s.entries {
			answer, err := http.Get("http://" + e.ready + "/ready")
			if err != nil {
				continue
			}
			_ = answer.Body.Close()
			if answer.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(s.entries) {
			time.Sleep(1500 * time.Millisecond) // the monitors have reported
			return nil
		}
	}
	return errors.New("entry hosts are not ready")
}

// signal sends a signal to a process that run.sh has started.
func (s *site) signal(name string, number syscall.Signal) error {
	text, err := os.ReadFile(filepath.Join(s.directory, name+".pid"))
	if err != nil {
		return err
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return err
	}
	s.trace.printf("signal %v to %s", number, name)
	return syscall.Kill(pid, number)
}

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of the system's own processes; each host has an address of its own.
const (
	callerPort  = 8740
	controlPort = 8748
	readyPort   = 8749
	peerPort    = 7200
	metricsPort = 7215
	storePort   = 8742
	serverPort  = 8745
)

const apiKey = "key-of-account-a"

// site is a small deployment: a store, servers, and the project's processes, which the script starts
// at the request of this program.
type site struct {
	dir     string
	trouble bool
	store   *store
	net     string
	group   sync.WaitGroup

	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File
	began    time.Time

	storeAddr string
	entries   []*entry
	readers   []string
	version   int
	// configuration is the newest one.
	configuration []byte
	sequence      int
	replicas      []*replica
	next          int
	input         *bufio.Reader
}

// entry is one entry host.
type entry struct {
	name, ip string
	pid      int
	memoryMB int
}

func (e *entry) addr() string { return net.JoinHostPort(e.ip, strconv.Itoa(callerPort)) }

func newSite(dir, recordPath string, trouble bool) (*site, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	s := &site{dir: dir, trouble: trouble, store: newStore(), file: file, record: bufio.NewWriter(file), began: time.Now()}
	s.input = bufio.NewReader(os.Stdin)
	for range 50 {
		s.net = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		s.next = 0
		listener, err := net.Listen("tcp", net.JoinHostPort(s.ip(), strconv.Itoa(storePort)))
		if err != nil {
			continue
		}
		s.storeAddr = listener.Addr().String()
		s.group.Go(func() { s.store.serve(listener) })
		return s, nil
	}
	return nil, fmt.Errorf("no free loopback address")
}

// ip returns the next loopback address of the deployment.
func (s *site) ip() string {
	s.next++
	return fmt.Sprintf("%s.%d", s.net, s.next)
}

// note writes a line to the record.
func (s *site) note(format string, args ...any) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f ", time.Since(s.began).Seconds())
	_, _ = fmt.Fprintf(s.record, format+"\n", args...)
	_ = s.record.Flush()
}

// start asks the script to start a process and waits until it has, or until it has ended.
func (s *site) start(name, role string) (int, error) {
	fmt.Printf("start %s %s\n", name, role)
	line, err := s.input.ReadString('\n')
	if err != nil {
		return 0, err
	}
	fields := strings.Fields(line)
	if len(fields) != 2 || fields[0] != name {
		return 0, fmt.Errorf("script answered %q to the start of %s", line, name)
	}
	pid, err := strconv.Atoi(fields[1])
	s.note("process %s (%s) started, pid %d", name, role, pid)
	return pid, err
}

func (s *site) writeSettings(name string, settings map[string]any) error {
	data, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(s.dir, name+".json"), data, 0o600)
}

// addEntries starts entry hosts with the settings that the deploy file's template fills in.
func (s *site) addEntries(count, memoryMB int) error {
	var readers []string
	for n := range count {
		e := &entry{name: fmt.Sprintf("front-%d", n+1), ip: s.ip(), memoryMB: memoryMB}
		s.entries = append(s.entries, e)
		if n < 3 {
			readers = append(readers, net.JoinHostPort(e.ip, strconv.Itoa(controlPort)))
		}
	}
	s.readers = readers
	for _, e := range s.entries {
		if err := s.startEntry(e); err != nil {
			return err
		}
	}
	for _, e := range s.entries {
		if err := s.awaitReady(e); err != nil {
			return err
		}
	}
	return nil
}

// startEntry writes the settings of an entry host and starts it.
func (s *site) startEntry(e *entry) error {
	err := s.writeSettings(e.name, map[string]any{
		"Name": e.name, "Zone": "zg-hall-a", "CallerAddress": e.addr(),
		"ReadyAddress": net.JoinHostPort(e.ip, strconv.Itoa(readyPort)), "HostAddress": e.ip,
		"ControlAddress": net.JoinHostPort(e.ip, strconv.Itoa(controlPort)), "Readers": s.readers,
		"PeerPort": peerPort, "MetricsPort": metricsPort, "StoreAddress": s.storeAddr,
		"MemoryMegabytes": e.memoryMB, "GraceSeconds": 8, "RevokeMillis": 5000, "ApplyMillis": 2000,
		"DrainMillis": 2000, "RetryRatio": 0.2, "RetrySlack": 56, "RetryWindowSeconds": 10,
	})
	if err != nil {
		return err
	}
	e.pid, err = s.start(e.name, "direct-entry")
	return err
}

func (s *site) awaitReady(e *entry) error {
	for range 400 {
		status, _ := get(net.JoinHostPort(e.ip, strconv.Itoa(readyPort)), "/ready")
		if status == 200 {
			return nil
		}
		time.Sleep(25 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", e.name)
}

// addMonitor starts the process beside an engine.
func (s *site) addMonitor(r *replica) error {
	name := "side-" + r.id
	err := s.writeSettings(name, map[string]any{
		"Name": name, "Zone": "zg-hall-a", "HostAddress": r.ip, "PeerPort": peerPort, "MetricsPort": metricsPort,
		"EngineAddress": r.addr(), "MemoryMegabytes": 216, "GraceSeconds": 8,
	})
	if err != nil {
		return err
	}
	r.monitorPID, err = s.start(name, "direct-backend")
	return err
}

// register writes the entry of a server.
func (s *site) register(r *replica, state string) time.Time {
	s.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": r.service, "address": r.addr(), "zone": "zg-hall-a", "version": "v1", "slots": r.slots,
		"state": state, "cold_ms": 0, "seq": s.sequence, "born": r.born,
	})
	return s.store.put("keyed.servers", r.id, value)
}

// configure writes the operator's configuration.
func (s *site) configure(limits map[string]any, routes []map[string]any, services []map[string]any, moreKeys ...string) time.Time {
	s.version++
	value, _ := json.Marshal(map[string]any{
		"version": s.version, "routes": routes, "services": services, "limits": limits,
		"tenants": []map[string]any{{"name": "account-a", "api_keys": append([]string{apiKey}, moreKeys...)}},
	})
	s.configuration = value
	return s.writeConfiguration()
}

// writeConfiguration writes the newest configuration, if need be again.
func (s *site) writeConfiguration() time.Time {
	return s.store.put("keyed.op", "config", s.configuration)
}

func usualLimits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}

func route(name, prefix, kind, service string, timeoutMS, attempts int, resumable bool) map[string]any {
	return map[string]any{
		"name": name, "host": "desk.example", "path_prefix": prefix, "kind": kind, "timeout_ms": timeoutMS, "slo_ms": timeoutMS / 4,
		"priority": 0, "service": service, "max_attempts": attempts, "public": false, "resumable": resumable, "gap_aim_ms": 180,
	}
}

func engineService(name string) map[string]any {
	return map[string]any{"name": name, "engine": map[string]any{"kv_capacity": 34267, "kv_token_bytes": 131072, "link_mbps": 19000, "stride": 4}}
}

func signalTo(pid int, signal syscall.Signal) { _ = syscall.Kill(pid, signal) }

func alive(pid int) bool { return syscall.Kill(pid, 0) == nil }

package demo

import (
	"fmt"

	"github.com/fulmarvalve/fulmarvalve/internal/settings/process"
	"github.com/fulmarvalve/fulmarvalve/internal/standin/site"
)

// Sizes and names of the deployment, which is a small part of a gym's deployment.
const (
	entryCount        = 2
	engineCount       = 2
	region            = "zagreb"
	memoryTokens      = 20000
	model             = "coach"
	generationService = "coaching"
	plainService      = "front-desk"
	maxRunning        = 16
)

// addressPool returns each of the free addresses once, in order.
type addressPool struct {
	free []string
}

func (a *addressPool) next() string {
	first := a.free[0]
	a.free = a.free[1:]
	return first
}

// prepare creates the settings of the processes and the stand-ins.
func (d *Deployment) prepare() error {
	const perHost = 3
	free, err := site.FreeAddresses(perHost*(entryCount+engineCount+1) + perHost)
	if err != nil {
		return err
	}
	pool := &addressPool{free: free}
	log, list := pool.next(), pool.next()
	for n := range entryCount {
		d.entries = append(d.entries, entrySettings(n, pool, log, list))
	}
	for n := range engineCount {
		d.backends = append(d.backends, engineSettings(n, pool, log, list))
	}
	d.backends = append(d.backends, plainSettings(pool, log, list))
	for i := range d.backends {
		d.backends[i].Peers = []string{d.entries[0].PeerAddress, d.entries[1].PeerAddress}
	}
	d.site = &site.Site{Backends: d.backends, StepMillis: stepMillis}
	return d.site.Prepare()
}

func zone(n int) string { return fmt.Sprintf("zagreb-%c", 'a'+n) }

func entrySettings(n int, pool *addressPool, log, list string) process.Entry {
	settings := process.DefaultEntry()
	settings.Name = fmt.Sprintf("entry-%d", n+1)
	settings.Region = region
	settings.Zone = zone(n)
	settings.CallerAddress = pool.next()
	settings.PeerAddress = pool.next()
	settings.MetricsAddress = pool.next()
	settings.LogServiceAddress = log
	settings.HostListAddress = list
	return settings
}

func backendSettings(name string, n int, pool *addressPool, log, list string) process.Backend {
	settings := process.DefaultBackend()
	settings.Name = name
	settings.Region = region
	settings.Zone = zone(n)
	settings.PeerAddress = pool.next()
	settings.MetricsAddress = pool.next()
	settings.LogServiceAddress = log
	settings.HostListAddress = list
	return settings
}

func engineSettings(n int, pool *addressPool, log, list string) process.Backend {
	settings := backendSettings(fmt.Sprintf("coaching-%d", n+1), n, pool, log, list)
	settings.Kind = process.KindEngine
	settings.EngineAddress = pool.next()
	settings.Service = generationService
	settings.Model = model
	settings.MemoryTokens = memoryTokens
	settings.MaxRunning = maxRunning
	return settings
}

func plainSettings(pool *addressPool, log, list string) process.Backend {
	settings := backendSettings("front-desk-1", 0, pool, log, list)
	settings.Kind = process.KindPlain
	settings.ServiceAddress = pool.next()
	settings.Service = plainService
	return settings
}

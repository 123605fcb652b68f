package endtoend

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fulmarvalve/fulmarvalve/internal/standin/replica"
)

// relayedPeerPort is the port of the relays to the monitors of engines.
const relayedPeerPort = platformPeerPort + 9

// cutSite is a deployment whose entry host reaches the store and the monitors through relays, which can go
// silent. It reaches its callers and the engines directly, as does another entry host all that there is. All
// answers end with their connections.
type cutSite struct {
	*platformSite
	relays []*relay
}

func newCutSite(t *testing.T, engines int) *cutSite {
	t.Helper()
	s := &cutSite{platformSite: newPlatformStore(t, int64(2+engines))}
	for n := range engines {
		e := s.addEngine(n)
		ip, _, _ := net.SplitHostPort(e.Addr())
		s.relays = append(s.relays, newRelay(t, joinPort(ip, relayedPeerPort), joinPort(ip, platformPeerPort)))
	}
	s.setEngineFaults(replica.Faults{EndByClose: true})
	s.configure(platformKey)
	store := newRelay(t, s.pool.next(), s.log.Addr())
	s.relays = append(s.relays, store)
	s.settings = s.entrySettings("entry")
	s.settings.StoreAddress, s.settings.PeerPort = store.listener.Addr().String(), relayedPeerPort
	s.startEntry()
	s.startAdviser()
	eventually(t, "entry host ready", s.ready)
	eventually(t, "entry host hears the monitors", func() error { return s.hears(engines) })
	return s
}

func joinPort(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// hears returns an error unless the entry host knows the load of that many engines.
func (s *cutSite) hears(engines int) error {
	status, err := queryStatus(s.settings.ControlAddress)
	if err != nil {
		return err
	}
	for _, host := range status.Hosts {
		if host.AgeMillis >= 0 {
			engines--
		}
	}
	if engines > 0 {
		return errNotYet
	}
	return nil
}

// cut makes the paths of the entry host to the store and to the monitors silent.
func (s *cutSite) cut() {
	for _, r := range s.relays {
		r.silenceNew(true)
		r.silence(toBackend, toEntry)
	}
}

// heal ends the cut. What was held back arrives late.
func (s *cutSite) heal() {
	for _, r := range s.relays {
		r.silenceNew(false)
		r.resume()
	}
}

// busiest returns the engine with the most runs.
func (s *cutSite) busiest() *platformEngine {
	found := s.engines[0]
	for _, e := range s.engines {
		if e.Running() > found.Running() {
			found = e
		}
	}
	return found
}

// cutStream is a stream that is open during the cut.
type cutStream struct {
	events int
	await  func() callerReply
}

// startStreams starts streams of drawn lengths and waits until all run.
func (s *cutSite) startStreams(random *rand.Rand, target string, count, leastEvents int) []cutStream {
	s.t.Helper()
	const spread = 60
	streams := make([]cutStream, count)
	for n := range streams {
		events := leastEvents + random.IntN(spread)
		streams[n] = cutStream{events: events, await: s.streamInBackground(fmt.Sprint("cut-", n), target, events)}
	}
	eventually(s.t, "all streams run", func() error {
		running := 0
		for _, e := range s.engines {
			running += e.Running()
		}
		if running < count {
			return errNotYet
		}
		return nil
	})
	return streams
}

// countEnds counts the answers that ended with their connections by the verdict on their ends.
func (s *cutSite) countEnds() map[string]int {
	ends := make(map[string]int)
	for _, line := range s.entry.logLines(func(l logLine) bool { return l.Message == "answer ended with its connection" }) {
		ends[line.Verdict]++
	}
	return ends
}

// TestStoppedRunsOfACutOffHost guards against streams that reach their callers as complete although their
// engine has stopped their runs for a migration: the entry host is cut off from the store and from the
// monitors, so that it hears neither of the shutdown nor of the stop.
func TestStoppedRunsOfACutOffHost(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		seed   uint64
		target string
		// healMillis is the time from the stop of the first run to the end of the cut.
		healMillis int
		// after runs when the engine has stopped a run.
		after func(*platformEngine)
		whole bool
	}{
		{"long cut", 1, streamPath, 4000, nil, false},
		{"long cut, resumable", 2, resumablePath, 4000, nil, true},
		{"late word", 3, streamPath, 500, nil, true},
		{"monitor started again in between", 4, streamPath, 500, func(e *platformEngine) {
			time.Sleep(slowCopyMillis * time.Millisecond) // the other runs are stopped meanwhile
			e.monitor.kill()
			e.monitor.start()
		}, false},
		{"monitor frozen in between", 5, streamPath, 500, func(e *platformEngine) { e.monitor.freeze() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			const engines, streams, leastEvents, noticeMillis = 3, 9, 200, 2500
			random := rand.New(rand.NewPCG(c.seed, 64))
			s := newCutSite(t, engines)
			all := s.startStreams(random, c.target, streams, leastEvents)
			s.cut()
			time.Sleep(time.Duration(random.IntN(slowCopyMillis)) * time.Millisecond)
			e := s.busiest()
			runs := e.Running()
			e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
			s.awaitStoppedRun(e, runs)
			if c.after != nil {
				c.after(e)
			}
			time.Sleep(time.Duration(c.healMillis) * time.Millisecond)
			s.heal()
			for n, stream := range all {
				got := stream.await()
				complete := got.err == nil && got.status == http.StatusOK
				if events := len(got.events()); complete && events < stream.events {
					t.Errorf("seed %d: stream %d ends as complete after %d of %d events", c.seed, n, events, stream.events)
				}
				is.True(complete || !c.whole)
			}
			ends := s.countEnds()
			t.Logf("seed %d: ends %v", c.seed, ends)
			is.True(ends["RunStopped"]+ends["Unknown"] > 0)
		})
	}
}

// TestFinishedAnswersOfACutOffHost guards against finished answers that are broken off as the entry host is
// cut off from the store and from the monitors: no engine leaves, and the engines themselves can be asked.
func TestFinishedAnswersOfACutOffHost(t *testing.T) {
	t.Parallel()
	const engines, streams, leastEvents, cutMillis = 3, 12, 80, 4000
	for seed := range uint64(2) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			random := rand.New(rand.NewPCG(seed, 64))
			s := newCutSite(t, engines)
			all := s.startStreams(random, streamPath, streams, leastEvents)
			healed := time.After(cutMillis * time.Millisecond)
			s.cut()
			for _, stream := range all {
				stream.await().checkWhole(t, stream.events)
			}
			<-healed
			s.heal()
			is.Equal(s.countEnds(), map[string]int{"Whole": streams})
			started, continued := s.countRuns()
			is.Equal([]int{started, continued}, []int{streams, 0})
		})
	}
}

// TestMovedStreamsOfACutOffHost guards against streams that are lost as the word that their runs were stopped
// comes late: without a sign that their engine leaves, they did not wait for it.
func TestMovedStreamsOfACutOffHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const seed, engines, streams, leastEvents, noticeMillis, healMillis = 6, 3, 9, 200, 2500, 500
	s := newCutSite(t, engines)
	s.setEngineFaults(replica.Faults{}) // a cut stream shows that it is cut
	all := s.startStreams(rand.New(rand.NewPCG(seed, 64)), streamPath, streams, leastEvents)
	s.cut()
	e := s.busiest()
	runs := e.Running()
	e.Drain(time.Now().Add(noticeMillis * time.Millisecond))
	s.awaitStoppedRun(e, runs)
	time.Sleep(healMillis * time.Millisecond)
	s.heal()
	for _, stream := range all {
		stream.await().checkWhole(t, stream.events)
	}
	started, continued := s.countRuns()
	is.Equal(started, streams)
	is.True(continued > 0)
}

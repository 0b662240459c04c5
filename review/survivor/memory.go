package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/berylpond/berylpond/review/site"
)

// memoryLimit ends the processes of some machines that exceed the memory limit, and starts them again, as the platform does.
// Only a process's own pages count, not those of its program file.
type memoryLimit struct {
	site *site.Site
	stop chan struct{}
	wg   sync.WaitGroup

	mu   sync.Mutex
	peak map[string]int64
	over map[string]int
}

func newMemoryLimit(s *site.Site, ips []string) *memoryLimit {
	m := &memoryLimit{site: s, stop: make(chan struct{}), peak: map[string]int64{}, over: map[string]int{}}
	for _, ip := range ips {
		m.wg.Go(func() { m.watch(ip) })
	}
	return m
}

func (m *memoryLimit) watch(ip string) {
	t := time.NewTicker(20 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-m.stop:
			return
		case <-t.C:
		}
		bytes := ownMemory(m.site.Pid(ip))
		m.mu.Lock()
		m.peak[ip] = max(m.peak[ip], bytes)
		m.mu.Unlock()
		if bytes <= memoryBytes {
			continue
		}
		m.site.Logf("machine %s exceeds its memory: %d MB", ip, bytes>>20)
		m.site.Kill(ip)
		m.mu.Lock()
		m.over[ip]++
		m.mu.Unlock()
		time.Sleep(restartDelay)
		if err := m.site.Start(ip); err != nil {
			m.site.Logf("machine %s does not start: %v", ip, err)
		}
	}
}

// ownMemory returns the anonymous resident memory of a process, zero if there is none.
func ownMemory(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(b), "RssAnon:")
	var kb int64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb << 10
}

func (m *memoryLimit) String() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b strings.Builder
	for ip, peak := range m.peak {
		fmt.Fprintf(&b, "[%s peak %d MB, over the limit %d times]", ip, peak>>20, m.over[ip])
	}
	return b.String()
}

func (m *memoryLimit) close() {
	close(m.stop)
	m.wg.Wait()
}

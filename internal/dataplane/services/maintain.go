package services

import (
	"syscall"
	"time"

	"go.uber.org/zap"
)

const (
	tickInterval  = 100 * time.Millisecond // time between measurements of the CPU time
	ticksPerSweep = 5                      // number of ticks between sweeps of idle connections
)

// maintain periodically measures the CPU time, revokes borrowed quota, and closes expired connections of all services.
// It returns when the manager is closed.
func (m *Manager) maintain() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	cpuBefore := cpuTime()
	for tick := 0; ; tick++ {
		select {
		case <-m.ctx.Done():
			return
		case <-ticker.C:
		}
		cpu := cpuTime()
		m.tickQuotas(cpu - cpuBefore)
		cpuBefore = cpu
		if tick%ticksPerSweep == 0 {
			m.closeExpired()
		}
	}
}

func (m *Manager) tickQuotas(cpu time.Duration) {
	revoked := m.quotas.tick(m.clock.Now().Seconds(), cpu.Seconds(), m.cores())
	if revoked > 0 {
		m.log.Warn("borrowed quota revoked", zap.Int("requests", revoked))
	}
}

// cores returns the configured number of CPU cores, or 1 before the first Apply.
func (m *Manager) cores() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.config == nil {
		return 1
	}
	return m.config.Machine.Cores
}

func (m *Manager) closeExpired() {
	for _, s := range m.allServices() {
		s.connections.CloseExpired(time.Now())
	}
}

// cpuTime returns the CPU time that this process has used, or 0 if getrusage fails.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

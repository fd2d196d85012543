package stage

import (
	"fmt"
	"os"
	"syscall"
	"time"
)

// memoryInterval is the time between two looks of the platform at the memory of a process.
const memoryInterval = 5 * time.Millisecond

// LimitMemory makes the platform kill the process of a machine whenever it uses more than MemoryMB, and start it again. It
// returns a function that returns the peak in bytes so far.
func (f *Fleet) LimitMemory(h *Host) (peak func() int64) {
	highest := make(chan int64, 1)
	highest <- 0
	go func() {
		for {
			select {
			case <-h.Exited():
				return
			case <-time.After(memoryInterval):
			}
			used := residentBytes(h.Pid())
			top := <-highest
			highest <- max(top, used)
			if used <= MemoryMB<<20 {
				continue
			}
			f.Record.Add("platform: %s uses %d MB of %d MB and is killed", h.Name, used>>20, MemoryMB)
			h.Signal(syscall.SIGKILL)
			<-h.Exited()
			h.mu.Lock()
			h.Killed++
			h.mu.Unlock()
			time.Sleep(RestartDelay)
			if f.Start(h) != nil {
				return
			}
		}
	}()
	return func() int64 {
		top := <-highest
		highest <- top
		return top
	}
}

// KilledForMemory returns how often the process was killed for too much memory.
func (h *Host) KilledForMemory() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.Killed
}

// residentBytes returns the resident memory of a process, or 0 if it has ended.
func residentBytes(pid int) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

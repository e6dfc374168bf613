package loader

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// RelaySettings holds the settings of a relay daemon.
type RelaySettings struct {
	Name        string                `json:"name" validate:"required,max=128"`
	Centre      string                `json:"centre" validate:"required,max=64"`
	Callers     netip.AddrPort        `json:"callers" validate:"required"`
	Ready       netip.AddrPort        `json:"ready" validate:"required"`
	Directory   netip.AddrPort        `json:"directory" validate:"required"`
	Peers       netip.AddrPort        `json:"peers" validate:"required"`
	Store       netip.AddrPort        `json:"store" validate:"required"`
	Seeds       []netip.AddrPort      `json:"seeds"`
	First       bool                  `json:"first"`   // the whole deployment starts for the first time
	Metrics     uint16                `json:"metrics"` // port for operators on the IP address of Callers; 0 for none
	Grace       cowslipproxy.Duration `json:"grace" validate:"gte=0"`
	Lifetime    cowslipproxy.Duration `json:"lifetime" validate:"gt=0"`
	Window      cowslipproxy.Duration `json:"window" validate:"gte=0"`      // period over which retries are limited; see RetryWindow
	Retries     float64               `json:"retries" validate:"gte=0"`     // retry budget of all daemons per window, as a ratio of retries to requests
	Floor       float64               `json:"floor" validate:"gte=0"`       // further retries of all daemons per window, independent of the number of requests
	LinkMbps    float64               `json:"link" validate:"gte=0"`        // speed of the VM's link, in megabits per second; 0 if unknown
	MemoryMB    float64               `json:"memory" validate:"gte=0"`      // memory limit of the process; 0 if unknown; see MemoryBytes
	Balance     bool                  `json:"balance"`                      // choose paths and plain servers by shared load figures; see docs/design/even-load.md
	Descriptors float64               `json:"descriptors" validate:"gte=0"` // descriptors of the VM; 0 if unknown; see Sockets
	Level       string                `json:"level" validate:"oneof=debug info warn error"`
}

// RelayDefaults returns the default settings of a relay daemon.
func RelayDefaults() RelaySettings {
	return RelaySettings{
		Grace:    cowslipproxy.Duration(8 * time.Second),
		Lifetime: cowslipproxy.Duration(2 * time.Second),
		Window:   cowslipproxy.Duration(10 * time.Second),
		Retries:  0.2,
		Floor:    100,
		MemoryMB: defaultMemoryMB,
		Level:    "info",
	}
}

const (
	megabyte        = 1 << 20
	defaultMemoryMB = 128
	minMemoryMB     = 16
	maxMemoryMB     = 1 << 30 // keeps products with the size in bytes far from overflowing
)

// MemoryBytes returns the memory limit of the process in bytes. An unknown limit is
// taken as the default, and one that no daemon can keep as the smallest useful one.
func (s RelaySettings) MemoryBytes() int64 {
	size := s.MemoryMB
	if size == 0 {
		size = defaultMemoryMB
	}
	return int64(min(max(size, minMemoryMB), maxMemoryMB) * megabyte)
}

const (
	// defaultDescriptors is the number of descriptors of the smallest VM.
	defaultDescriptors = 2870
	// otherDescriptors are the descriptors of the VM that are not for sockets.
	otherDescriptors = 200
	minSockets       = 64
	maxSockets       = 1 << 20
)

// Sockets returns the number of sockets that the process may open if the operating system lets it
// open the given number of descriptors. An unknown number of the VM is taken as the default.
func (s RelaySettings) Sockets(limit uint64) int {
	descriptors := s.Descriptors
	if descriptors == 0 {
		descriptors = defaultDescriptors
	}
	return int(min(max(min(descriptors, float64(limit))-otherDescriptors, minSockets), maxSockets))
}

// minRetryWindow is the shortest period over which retries are limited. A longer period
// than the one set is stricter, so the limit of the setting is kept too.
const minRetryWindow = time.Second

// RetryWindow returns the period over which retries are limited.
func (s RelaySettings) RetryWindow() time.Duration {
	return max(time.Duration(s.Window), minRetryWindow)
}

// LoadRelay reads the settings of a relay daemon from a YAML file.
func LoadRelay(path string) (RelaySettings, error) {
	settings := RelayDefaults()
	if err := readFile(path, &settings); err != nil {
		return settings, err
	}
	return settings, errors.Wrap(decoder.Check(&settings), path)
}

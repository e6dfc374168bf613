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
	Name      string                `json:"name" validate:"required,max=128"`
	Centre    string                `json:"centre" validate:"required,max=64"`
	Callers   netip.AddrPort        `json:"callers" validate:"required"`
	Ready     netip.AddrPort        `json:"ready" validate:"required"`
	Directory netip.AddrPort        `json:"directory" validate:"required"`
	Peers     netip.AddrPort        `json:"peers" validate:"required"`
	Store     netip.AddrPort        `json:"store" validate:"required"`
	Seeds     []netip.AddrPort      `json:"seeds"`
	First     bool                  `json:"first"`   // the whole deployment starts for the first time
	Metrics   uint16                `json:"metrics"` // port for operators on the IP address of Callers; 0 for none
	Grace     cowslipproxy.Duration `json:"grace" validate:"gt=0"`
	Lifetime  cowslipproxy.Duration `json:"lifetime" validate:"gt=0"`
	Window    cowslipproxy.Duration `json:"window" validate:"gt=0"`   // period over which retries are limited
	Retries   float64               `json:"retries" validate:"gte=0"` // retry budget of all daemons per window, as a ratio of retries to requests
	Floor     int                   `json:"floor" validate:"gte=0"`   // further retries of all daemons per window, independent of the number of requests
	LinkMbps  float64               `json:"link" validate:"gte=0"`    // speed of the VM's link, in megabits per second; 0 if unknown
	Memory    int64                 `json:"memory" validate:"gte=16"` // memory limit of the process, in megabytes
	Level     string                `json:"level" validate:"oneof=debug info warn error"`
}

// RelayDefaults returns the default settings of a relay daemon.
func RelayDefaults() RelaySettings {
	return RelaySettings{
		Grace:    cowslipproxy.Duration(8 * time.Second),
		Lifetime: cowslipproxy.Duration(2 * time.Second),
		Window:   cowslipproxy.Duration(10 * time.Second),
		Retries:  0.2,
		Floor:    100,
		Memory:   128,
		Level:    "info",
	}
}

// LoadRelay reads the settings of a relay daemon from a YAML file.
func LoadRelay(path string) (RelaySettings, error) {
	settings := RelayDefaults()
	if err := readFile(path, &settings); err != nil {
		return settings, err
	}
	return settings, errors.Wrap(decoder.Check(&settings), path)
}

// Package loader reads a daemon's settings from a YAML file, flags and the
// environment.
package loader

import (
	"flag"
	"net/netip"
	"os"
	"sort"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"github.com/cowslipproxy/cowslipproxy"
	"github.com/cowslipproxy/cowslipproxy/decoder"
)

// Settings holds the settings of an entry daemon. The variable fields describes each.
type Settings struct {
	Name     string                `json:"name" validate:"required,max=64,label"`
	Centre   string                `json:"centre" validate:"required,max=64,label"`
	Callers  netip.AddrPort        `json:"callers" validate:"required"`
	Peers    netip.AddrPort        `json:"peers" validate:"required"`
	Operator netip.AddrPort        `json:"operator" validate:"required"`
	Log      netip.AddrPort        `json:"log" validate:"required"`
	List     netip.AddrPort        `json:"list" validate:"required"`
	Weights  netip.AddrPort        `json:"weights" validate:"omitempty"`
	Seeds    []netip.AddrPort      `json:"seeds" validate:"max=100"`
	Body     int64                 `json:"body" validate:"gte=1024,lte=1073741824"`
	Wait     cowslipproxy.Duration `json:"wait" validate:"gt=0,lte=3600000000000"`
	Lifetime cowslipproxy.Duration `json:"lifetime" validate:"gt=0,lte=3600000000000"`
	Grace    cowslipproxy.Duration `json:"grace" validate:"gt=0,lte=86400000000000"`
	Retain   cowslipproxy.Duration `json:"retain" validate:"gt=0"`
	Streams  int                   `json:"streams" validate:"gte=1,lte=1024"`
	Sockets  int                   `json:"sockets" validate:"gte=1,lte=1000000"`
	Queue    int                   `json:"queue" validate:"gte=0,lte=1000000"`
	Floor    float64               `json:"floor" validate:"gte=0,lte=0.5"`
	Level    string                `json:"level" validate:"oneof=debug info warn error"`
}

// Field documents one setting.
type Field struct {
	Name    string
	Default string // default value; empty if there is none
	Meaning string
	set     func(*Settings, string) error
}

// Defaults returns the default settings of an entry daemon.
func Defaults() Settings {
	return Settings{
		Body:     8 << 20,
		Wait:     cowslipproxy.Duration(time.Minute),
		Lifetime: cowslipproxy.Duration(10 * time.Second),
		Grace:    cowslipproxy.Duration(10 * time.Minute),
		Retain:   cowslipproxy.Duration(24 * time.Hour),
		Streams:  4,
		Sockets:  10_000,
		Queue:    256,
		Floor:    0.1,
		Level:    "info",
	}
}

// Load reads the settings of an entry daemon. Flags take precedence over the environment
// (prefix COWSLIPD), and the environment over the file that the flag -settings names.
func Load(args []string) (Settings, error) {
	settings := Defaults()
	flags := flag.NewFlagSet("cowslipd", flag.ContinueOnError)
	file := flags.String("settings", "", "YAML `file` with the settings")
	given := map[string]*string{}
	for _, field := range Fields() {
		given[field.Name] = flags.String(field.Name, "", field.usage())
	}
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("COWSLIPD")); err != nil {
		return settings, errors.WithStack(err)
	}
	if flags.NArg() > 0 {
		return settings, errors.Errorf("argument %q is not a flag", flags.Arg(0))
	}
	if *file != "" {
		if err := readFile(*file, &settings); err != nil {
			return settings, err
		}
	}
	for _, field := range Fields() {
		if *given[field.Name] == "" {
			continue
		}
		if err := field.set(&settings, *given[field.Name]); err != nil {
			return settings, errors.Wrap(err, field.Name)
		}
	}
	return settings, decoder.Check(settings)
}

// usage returns the description of the setting for the help text.
func (f Field) usage() string {
	if f.Default == "" {
		return f.Meaning
	}
	return f.Meaning + "; " + f.Accepted() + "; " + f.Default + " when not given"
}

func readFile(name string, settings any) error {
	var data []byte
	var err error
	if data, err = os.ReadFile(name); err != nil {
		return errors.WithStack(err)
	}
	return errors.Wrap(decoder.YAMLUnchecked(data, settings), name)
}

// Fields returns all settings, ordered by name.
func Fields() []Field {
	fields := append([]Field(nil), fields...)
	sort.Slice(fields, func(i, j int) bool { return fields[i].Name < fields[j].Name })
	return fields
}

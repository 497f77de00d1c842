package limpet

import (
	"fmt"
	"time"

	"limpethall.dev/kernel/queue"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/limpet/engine"
)

// Settings is the schema of a limpet's settings file.
type Settings struct {
	settings.Process
	Listen       string            `toml:"listen"`
	Advertise    string            `toml:"advertise"`
	MaxCallBytes int               `toml:"maxCallBytes"`
	MaxCalls     int               `toml:"maxCalls"`
	PinTTL       settings.Duration `toml:"pinLength"`
	Engine       EngineSettings    `toml:"engine"`
	Service      ServiceSettings   `toml:"service"`
	Queue        QueueSettings     `toml:"queue"`
	Window       WindowSettings    `toml:"window"`
	Placement    PlacementSettings `toml:"orders"`
}

// PlacementSettings limit the placement commands sent to the model engine.
type PlacementSettings struct {
	// Permits is the maximum number of concurrent loads from the weight store
	// in the whole fleet. All limpets must have the same value.
	Permits int `toml:"permits"`
	// Timeout bounds one placement command.
	Timeout settings.Duration `toml:"timeout"`
}

// EngineSettings describe the model engine.
type EngineSettings struct {
	Protocol string   `toml:"protocol"`
	Address  string   `toml:"address"`
	Models   []string `toml:"models"`
}

// ServiceSettings describe the plain service. Timeout bounds each call.
type ServiceSettings struct {
	Name    string            `toml:"name"`
	Address string            `toml:"address"`
	Timeout settings.Duration `toml:"timeout"`
}

// QueueSettings configure the queue of waiting calls.
type QueueSettings struct {
	Policy   string  `toml:"policy"`
	Capacity int     `toml:"capacity"`
	Aging    float64 `toml:"aging"`
}

// WindowSettings are the concurrency limits of the backend server, cold and
// warm, and how long it may take to warm up.
type WindowSettings struct {
	Cold   int               `toml:"cold"`
	Warm   int               `toml:"warm"`
	WarmUp settings.Duration `toml:"warmUp"`
}

// DefaultSettings returns the defaults for what the settings file leaves out.
func DefaultSettings() Settings {
	return Settings{
		Process:      settings.Process{Store: settings.DefaultStore()},
		Listen:       "127.0.0.1:7200",
		MaxCallBytes: 16 << 20,
		MaxCalls:     20_000,
		PinTTL:       settings.NewDuration(10 * time.Minute),
		Engine:       EngineSettings{Protocol: "chat"},
		Service:      ServiceSettings{Timeout: settings.NewDuration(30 * time.Second)},
		Queue:        QueueSettings{Policy: "fair", Capacity: 512, Aging: 200},
		Placement:    PlacementSettings{Permits: 2, Timeout: settings.NewDuration(5 * time.Minute)},
		Window:       WindowSettings{Cold: 2, Warm: 16, WarmUp: settings.NewDuration(10 * time.Second)},
	}
}

// Problems implements settings.Validator.
func (s *Settings) Problems() []string {
	problems := s.Process.Problems()
	problems = append(problems, settings.AddressProblems("listen", s.Listen)...)
	if s.Advertise != "" {
		problems = append(problems, settings.AddressProblems("advertise", s.Advertise)...)
	}
	problems = append(problems, s.backendProblems()...)
	if _, err := queue.Policies.Find(s.Queue.Policy); err != nil {
		problems = append(problems, fmt.Sprintf("queue.policy: %v", err))
	}
	if s.Queue.Capacity < 1 {
		problems = append(problems, fmt.Sprintf("queue.capacity: %d is not allowed, use 1 or more", s.Queue.Capacity))
	}
	if s.Window.Cold < 1 || s.Window.Warm < s.Window.Cold {
		problems = append(problems, fmt.Sprintf("window: cold %d and warm %d are not allowed, use 1 or more and warm at least cold", s.Window.Cold, s.Window.Warm))
	}
	if s.Placement.Permits < 1 || s.Placement.Timeout.Value() < time.Second {
		problems = append(problems, fmt.Sprintf("orders: permits %d and timeout %s are not allowed, use 1 or more and 1s or more", s.Placement.Permits, s.Placement.Timeout.Value()))
	}
	if s.MaxCalls < 1 || s.MaxCallBytes < 1 {
		problems = append(problems, "maxCalls, maxCallBytes: must be 1 or more")
	}
	return problems
}

func (s *Settings) backendProblems() []string {
	switch {
	case s.Service.Name != "" && s.Engine.Address != "":
		return []string{"engine, service: a limpet serves exactly one backend server, set only one of them"}
	case s.Service.Name != "":
		return settings.AddressProblems("service.address", s.Service.Address)
	case s.Engine.Address == "":
		return []string{"engine.address: is missing, set it or service.name and service.address"}
	}
	problems := settings.AddressProblems("engine.address", s.Engine.Address)
	if len(s.Engine.Models) == 0 {
		problems = append(problems, "engine.models: is missing, list the models of the engine")
	}
	if _, err := engine.Engines.Find(s.Engine.Protocol); err != nil {
		problems = append(problems, fmt.Sprintf("engine.protocol: %v", err))
	}
	return problems
}

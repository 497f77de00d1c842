package limpet

import (
	"fmt"
	"time"

	"limpethall.dev/kernel/queue"
	"limpethall.dev/kernel/settings"
	"limpethall.dev/limpet/engine"
)

// Settings are the settings file of a limpet.
type Settings struct {
	settings.Process
	Listen       string            `toml:"listen"`
	Advertise    string            `toml:"advertise"`
	MaxCallBytes int               `toml:"maxCallBytes"`
	MaxCalls     int               `toml:"maxCalls"`
	PinLength    settings.Duration `toml:"pinLength"`
	Engine       EngineSettings    `toml:"engine"`
	Service      ServiceSettings   `toml:"service"`
	Queue        QueueSettings     `toml:"queue"`
	Window       WindowSettings    `toml:"window"`
	Orders       OrderSettings     `toml:"orders"`
}

// OrderSettings bound the orders to model engines.
type OrderSettings struct {
	// Permits is how many loads from the weight store the whole fleet may run
	// at once; it must be the same everywhere.
	Permits int `toml:"permits"`
	// Timeout bounds one order.
	Timeout settings.Duration `toml:"timeout"`
}

// EngineSettings say how the model engine is reached.
type EngineSettings struct {
	Protocol string   `toml:"protocol"`
	Address  string   `toml:"address"`
	Models   []string `toml:"models"`
}

// ServiceSettings say how the plain service is reached.
type ServiceSettings struct {
	Name    string            `toml:"name"`
	Address string            `toml:"address"`
	Timeout settings.Duration `toml:"timeout"`
}

// QueueSettings bound and order the calls that wait.
type QueueSettings struct {
	Policy   string  `toml:"policy"`
	Capacity int     `toml:"capacity"`
	Aging    float64 `toml:"aging"`
}

// WindowSettings state what the backend server bears.
type WindowSettings struct {
	Cold   int               `toml:"cold"`
	Warm   int               `toml:"warm"`
	WarmUp settings.Duration `toml:"warmUp"`
}

// DefaultSettings returns what holds where the file says nothing.
func DefaultSettings() Settings {
	return Settings{
		Process:      settings.Process{Store: settings.DefaultStore()},
		Listen:       "127.0.0.1:7200",
		MaxCallBytes: 16 << 20,
		MaxCalls:     20_000,
		PinLength:    settings.NewDuration(10 * time.Minute),
		Engine:       EngineSettings{Protocol: "chat"},
		Service:      ServiceSettings{Timeout: settings.NewDuration(30 * time.Second)},
		Queue:        QueueSettings{Policy: "fair", Capacity: 512, Aging: 200},
		Orders:       OrderSettings{Permits: 2, Timeout: settings.NewDuration(5 * time.Minute)},
		Window:       WindowSettings{Cold: 2, Warm: 16, WarmUp: settings.NewDuration(10 * time.Second)},
	}
}

// Problems implements settings.Checked.
func (s *Settings) Problems() []string {
	found := s.Process.Problems()
	found = append(found, settings.AddressProblems("listen", s.Listen)...)
	if s.Advertise != "" {
		found = append(found, settings.AddressProblems("advertise", s.Advertise)...)
	}
	found = append(found, s.backendProblems()...)
	if _, err := queue.Policies.Find(s.Queue.Policy); err != nil {
		found = append(found, fmt.Sprintf("queue.policy: %v", err))
	}
	if s.Queue.Capacity < 1 {
		found = append(found, fmt.Sprintf("queue.capacity: %d is not allowed, use 1 or more calls", s.Queue.Capacity))
	}
	if s.Window.Cold < 1 || s.Window.Warm < s.Window.Cold {
		found = append(found, fmt.Sprintf("window: cold %d and warm %d are not allowed, use 1 or more and warm at least cold", s.Window.Cold, s.Window.Warm))
	}
	if s.Orders.Permits < 1 || s.Orders.Timeout.Length() < time.Second {
		found = append(found, fmt.Sprintf("orders: permits %d and timeout %s are not allowed, use 1 or more and 1s or more", s.Orders.Permits, s.Orders.Timeout.Length()))
	}
	if s.MaxCalls < 1 || s.MaxCallBytes < 1 {
		found = append(found, "maxCalls, maxCallBytes: must be 1 or more")
	}
	return found
}

func (s *Settings) backendProblems() []string {
	switch {
	case s.Service.Name != "" && s.Engine.Address != "":
		return []string{"engine, service: a limpet stands before one backend server, set only one of them"}
	case s.Service.Name != "":
		return settings.AddressProblems("service.address", s.Service.Address)
	case s.Engine.Address == "":
		return []string{"engine.address: is missing, set it or service.name and service.address"}
	}
	found := settings.AddressProblems("engine.address", s.Engine.Address)
	if len(s.Engine.Models) == 0 {
		found = append(found, "engine.models: is missing, list the models that the engine holds")
	}
	if _, err := engine.Engines.Find(s.Engine.Protocol); err != nil {
		found = append(found, fmt.Sprintf("engine.protocol: %v", err))
	}
	return found
}

package hall

import (
	"fmt"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/route"
	"limpethall.dev/kernel/settings"
)

// Settings are the contents of the settings file of a hall.
type Settings struct {
	settings.Process
	Listen     string           `toml:"listen"`
	PeerListen string           `toml:"peerListen"`
	Advertise  string           `toml:"advertise"`
	TLS        TLSSettings      `toml:"tls"`
	Limits     LimitSettings    `toml:"limits"`
	Route      RouteSettings    `toml:"route"`
	Hosts      HostListSettings `toml:"hosts"`
	// DrainDelay is the time that a stopping hall still serves requests, so that
	// the load balancer can stop sending them first.
	DrainDelay settings.Duration `toml:"drainDelay"`
}

// TLSSettings are the files for TLS on the public listener. Without them it uses
// plain HTTP.
type TLSSettings struct {
	CertificateFile string `toml:"certificateFile"`
	KeyFile         string `toml:"keyFile"`
}

// LimitSettings limit the resources of one request or program.
type LimitSettings struct {
	MaxBodyBytes    int               `toml:"maxBodyBytes"`
	MaxHistoryBytes int               `toml:"maxHistoryBytes"`
	MaxTurns        uint64            `toml:"maxTurns"`
	MaxAnswerTokens int64             `toml:"maxAnswerTokens"`
	BytesPerToken   int               `toml:"bytesPerToken"`
	ProgramIdle     settings.Duration `toml:"programIdle"`
	ServiceTimeout  settings.Duration `toml:"serviceTimeout"`
}

// RouteSettings configure the selection of backend servers.
type RouteSettings struct {
	Policy string `toml:"policy"`
	// PrefillRate is the number of prompt tokens that an engine computes per
	// second.
	PrefillRate float64 `toml:"prefillRate"`
}

// HostListSettings configure access to the platform's host list. Without an
// address no host list is read.
type HostListSettings struct {
	Protocol string `toml:"protocol"`
	Address  string `toml:"address"`
}

// DefaultSettings returns the values of settings that the file omits.
func DefaultSettings() Settings {
	return Settings{
		Process:    settings.Process{Store: settings.DefaultStore()},
		Listen:     "127.0.0.1:8080",
		PeerListen: "127.0.0.1:7100",
		Limits: LimitSettings{
			MaxBodyBytes: 4 << 20, MaxHistoryBytes: 4 << 20, MaxTurns: 200, MaxAnswerTokens: 1024, BytesPerToken: 4,
			ProgramIdle: settings.NewDuration(15 * time.Minute), ServiceTimeout: settings.NewDuration(45 * time.Second),
		},
		Route:      RouteSettings{Policy: "affinity", PrefillRate: 4000},
		Hosts:      HostListSettings{Protocol: "httpjson"},
		DrainDelay: settings.NewDuration(5 * time.Second),
	}
}

// Problems implements settings.Validator.
func (s *Settings) Problems() []string {
	problems := s.Process.Problems()
	problems = append(problems, settings.AddressProblems("listen", s.Listen)...)
	problems = append(problems, settings.AddressProblems("peerListen", s.PeerListen)...)
	if s.Advertise != "" {
		problems = append(problems, settings.AddressProblems("advertise", s.Advertise)...)
	}
	if (s.TLS.CertificateFile == "") != (s.TLS.KeyFile == "") {
		problems = append(problems, "tls: set both certificateFile and keyFile, or neither")
	}
	if _, err := route.Policies.Find(s.Route.Policy); err != nil {
		problems = append(problems, fmt.Sprintf("route.policy: %v", err))
	}
	if s.Route.PrefillRate <= 0 {
		problems = append(problems, fmt.Sprintf("route.prefillRate: %g is not allowed, use more than 0 tokens per second", s.Route.PrefillRate))
	}
	if s.Hosts.Address != "" {
		if _, err := platform.HostLists.Find(s.Hosts.Protocol); err != nil {
			problems = append(problems, fmt.Sprintf("hosts.protocol: %v", err))
		}
		problems = append(problems, settings.AddressProblems("hosts.address", s.Hosts.Address)...)
	}
	return append(problems, s.Limits.problems()...)
}

func (l LimitSettings) problems() []string {
	var problems []string
	for _, limit := range []struct {
		key   string
		value int64
	}{
		{"maxBodyBytes", int64(l.MaxBodyBytes)},
		{"maxHistoryBytes", int64(l.MaxHistoryBytes)},
		{"maxTurns", int64(l.MaxTurns)},
		{"maxAnswerTokens", l.MaxAnswerTokens},
		{"bytesPerToken", int64(l.BytesPerToken)},
		{"programIdle", int64(l.ProgramIdle.Value())},
		{"serviceTimeout", int64(l.ServiceTimeout.Value())},
	} {
		if limit.value < 1 {
			problems = append(problems, fmt.Sprintf("limits.%s: %d is not allowed, use 1 or more", limit.key, limit.value))
		}
	}
	return problems
}

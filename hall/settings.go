package hall

import (
	"fmt"
	"time"

	"limpethall.dev/kernel/platform"
	"limpethall.dev/kernel/route"
	"limpethall.dev/kernel/settings"
)

// Settings are the settings file of a hall.
type Settings struct {
	settings.Process
	Listen     string           `toml:"listen"`
	PeerListen string           `toml:"peerListen"`
	Advertise  string           `toml:"advertise"`
	TLS        TLSSettings      `toml:"tls"`
	Limits     LimitSettings    `toml:"limits"`
	Route      RouteSettings    `toml:"route"`
	Hosts      HostListSettings `toml:"hosts"`
	// DrainDelay is how long a hall that was told to stop goes on serving, so
	// that the balancer can leave it first.
	DrainDelay settings.Duration `toml:"drainDelay"`
}

// TLSSettings name the files for encryption towards callers.
type TLSSettings struct {
	CertificateFile string `toml:"certificateFile"`
	KeyFile         string `toml:"keyFile"`
}

// LimitSettings bound what one request or program may take.
type LimitSettings struct {
	MaxBodyBytes    int               `toml:"maxBodyBytes"`
	MaxHistoryBytes int               `toml:"maxHistoryBytes"`
	MaxTurns        uint64            `toml:"maxTurns"`
	MaxAnswerTokens int64             `toml:"maxAnswerTokens"`
	BytesPerToken   int               `toml:"bytesPerToken"`
	ProgramIdle     settings.Duration `toml:"programIdle"`
	ServiceTimeout  settings.Duration `toml:"serviceTimeout"`
}

// RouteSettings choose how backend servers are chosen.
type RouteSettings struct {
	Policy string `toml:"policy"`
	// PrefillRate is how many prompt tokens an engine computes a second.
	PrefillRate float64 `toml:"prefillRate"`
}

// HostListSettings say where the platform's host list is read.
type HostListSettings struct {
	Protocol string `toml:"protocol"`
	Address  string `toml:"address"`
}

// DefaultSettings returns what holds where the file says nothing.
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

// Problems implements settings.Checked.
func (s *Settings) Problems() []string {
	found := s.Process.Problems()
	found = append(found, settings.AddressProblems("listen", s.Listen)...)
	found = append(found, settings.AddressProblems("peerListen", s.PeerListen)...)
	if s.Advertise != "" {
		found = append(found, settings.AddressProblems("advertise", s.Advertise)...)
	}
	if (s.TLS.CertificateFile == "") != (s.TLS.KeyFile == "") {
		found = append(found, "tls: set both certificateFile and keyFile, or neither")
	}
	if _, err := route.Policies.Find(s.Route.Policy); err != nil {
		found = append(found, fmt.Sprintf("route.policy: %v", err))
	}
	if s.Route.PrefillRate <= 0 {
		found = append(found, fmt.Sprintf("route.prefillRate: %g is not allowed, use more than 0 tokens per second", s.Route.PrefillRate))
	}
	if s.Hosts.Address != "" {
		if _, err := platform.HostLists.Find(s.Hosts.Protocol); err != nil {
			found = append(found, fmt.Sprintf("hosts.protocol: %v", err))
		}
		found = append(found, settings.AddressProblems("hosts.address", s.Hosts.Address)...)
	}
	return append(found, s.Limits.problems()...)
}

func (l LimitSettings) problems() []string {
	var found []string
	for _, bound := range []struct {
		key   string
		value int64
	}{
		{"maxBodyBytes", int64(l.MaxBodyBytes)},
		{"maxHistoryBytes", int64(l.MaxHistoryBytes)},
		{"maxTurns", int64(l.MaxTurns)},
		{"maxAnswerTokens", l.MaxAnswerTokens},
		{"bytesPerToken", int64(l.BytesPerToken)},
		{"programIdle", int64(l.ProgramIdle.Length())},
		{"serviceTimeout", int64(l.ServiceTimeout.Length())},
	} {
		if bound.value < 1 {
			found = append(found, fmt.Sprintf("limits.%s: %d is not allowed, use 1 or more", bound.key, bound.value))
		}
	}
	return found
}

package gateway

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"limpethall.dev/hall/balance"
	"limpethall.dev/hall/rollout"
)

// Rollouts decides which software versions receive requests while the traffic of a service
// moves to another version, and is told how the versions answer.
type Rollouts interface {
	// Select returns the versions that one request may use. A selection of the target
	// version takes from the grant of this hall.
	Select(service, key string) rollout.Selection
	// Allowed reports whether one request may be sent to the version. It takes from the
	// grant if that is the target version.
	Allowed(service, version string) bool
	// Opened counts a request that is sent to a server, and is open until closed is called.
	Opened(service, version string) (closed func())
	// Record records the result of a request at a server.
	Record(outcome rollout.Outcome)
}

// VersionError reports that servers of a software version may not be used.
type VersionError struct{ service, version string }

// Error implements error.
func (e *VersionError) Error() string {
	return fmt.Sprintf("version %q of %s may not be used any more", e.version, e.service)
}

// Service returns the name of the service.
func (e *VersionError) Service() string { return e.service }

// Version returns the software version.
func (e *VersionError) Version() string { return e.version }

// permissionValidity is how long after a permission was given it may be used. A roll-out
// ends only after halls have reported that they have no request open at the old version; a
// request that uses an older permission could have been missed in such a report.
const permissionValidity = rollout.Interval

// permission allows one send to servers of some software versions. The zero value allows
// none.
type permission struct {
	only     *string // Nil for all versions but the excluded one.
	excluded string
	givenAt  time.Time
}

func newPermission(selection rollout.Selection, now time.Time) permission {
	return permission{only: selection.Only(), excluded: selection.Excluded(), givenAt: now}
}

// isValid reports whether the permission may still be used.
func (p permission) isValid(now time.Time) bool {
	return !p.givenAt.IsZero() && now.Sub(p.givenAt) < permissionValidity
}

// restrict returns the query for the servers that the permission allows.
func (p permission) restrict(query balance.Query) balance.Query {
	if p.only != nil {
		query.Version = p.only
	}
	query.ExcludedVersion = p.excluded
	return query
}

// invert returns the query for the servers that the permission leaves out, and false if it
// leaves out none.
func (p permission) invert(query balance.Query) (balance.Query, bool) {
	switch {
	case p.only != nil:
		query.Version, query.ExcludedVersion = nil, *p.only
	case p.excluded != "":
		query.Version, query.ExcludedVersion = &p.excluded, ""
	default:
		return query, false
	}
	return query, true
}

// preferredVersion returns the software version of the server that is the best one for a
// stream which stays with one version.
func (h *requestHandler) preferredVersion(now time.Time, query balance.Query) (string, error) {
	balancer := h.gateway.options.Balancer
	if h.gateway.options.Rollouts == nil {
		return balancer.PreferredVersion(now, query)
	}
	h.selectVersions(now)
	version, err := balancer.PreferredVersion(now, h.permission.restrict(query))
	if err == nil {
		return version, nil
	}
	if h.useOtherVersion(now, query, err) {
		return *h.permission.only, nil
	}
	return "", err
}

// chooseServer chooses the server for the next send among those of the software versions
// that a roll-out allows. A request that is bound to a version gets a *VersionError if that
// one is not allowed. Another request uses the other version, if that is allowed, rather
// than no server.
func (h *requestHandler) chooseServer(now time.Time, query balance.Query) (*balance.Choice, error) {
	options := &h.gateway.options
	if options.Rollouts == nil {
		return options.Balancer.Choose(now, query)
	}
	if h.version != nil {
		if !h.confirmPermission(now, *h.version) {
			return nil, &VersionError{service: h.service.Name, version: *h.version}
		}
		return options.Balancer.Choose(now, query)
	}
	if !h.permission.isValid(now) {
		h.selectVersions(now)
	}
	choice, err := options.Balancer.Choose(now, h.permission.restrict(query))
	if err != nil && h.useOtherVersion(now, query, err) {
		return options.Balancer.Choose(now, h.permission.restrict(query))
	}
	return choice, err
}

func (h *requestHandler) selectVersions(now time.Time) {
	h.permission = newPermission(h.gateway.options.Rollouts.Select(h.service.Name, h.splitKey()), now)
}

// useOtherVersion changes the permission, with which no server was found, to the version
// that it leaves out. It reports whether there is a server of that version and the version
// is allowed.
func (h *requestHandler) useOtherVersion(now time.Time, query balance.Query, cause error) bool {
	options := &h.gateway.options
	inverse, restricted := h.permission.invert(query)
	if !restricted {
		return false
	}
	version, err := options.Balancer.PreferredVersion(now, inverse)
	if err != nil || !options.Rollouts.Allowed(h.service.Name, version) {
		return false
	}
	options.Logger.Info("no server of the version that the roll-out selects, using the other version", zap.String("requestId", h.request.ID),
		zap.String("service", h.service.Name), zap.String("version", version), zap.Error(cause))
	h.permission = permission{only: &version, givenAt: now}
	return true
}

// confirmPermission reports whether a request may be sent to servers of the version now. It
// asks again if the permission is not valid any more.
func (h *requestHandler) confirmPermission(now time.Time, version string) bool {
	rollouts := h.gateway.options.Rollouts
	if rollouts == nil || h.permission.isValid(now) {
		return true
	}
	h.permission = permission{}
	if !rollouts.Allowed(h.service.Name, version) {
		return false
	}
	h.permission = permission{only: &version, givenAt: now}
	return true
}

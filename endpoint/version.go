package endpoint

import "time"

// serviceVersion is a software version of the endpoints of a service.
type serviceVersion struct {
	// count is the number of endpoints, those with a missing registration included.
	count int
	// lastPresent is until when the latest of those that were dropped had been present.
	lastPresent time.Time
	// recorded is set if the store has a record of the version.
	recorded bool
}

// current reports whether a stream that the version began may still be resumed.
func (v serviceVersion) current(now time.Time) bool {
	return v.count > 0 || now.Sub(v.lastPresent) <= missingRetention
}

// versionTable holds the software versions of endpoints, by service and version.
type versionTable map[string]map[string]serviceVersion

// add counts an endpoint.
func (t versionTable) add(r Registration) {
	if t[r.Service] == nil {
		t[r.Service] = map[string]serviceVersion{}
	}
	v := t[r.Service][r.Version]
	v.count++
	t[r.Service][r.Version] = v
}

// remove notes that a counted endpoint has been dropped, and until when it had been present.
func (t versionTable) remove(r Registration, lastPresent time.Time) {
	v := t[r.Service][r.Version]
	v.count--
	v.lastPresent = lastPresent
	t[r.Service][r.Version] = v
}

// hearsayLifetime is how long a report of another instance that a service has several versions
// holds; it is repeated while that lasts.
const hearsayLifetime = 5 * time.Second

// SeveralVersions reports whether endpoints of more than one software version may serve a service,
// or have served it within missingRetention, as far as this instance, another one or the version
// history knows. It is true until an awaited history is known.
func (d *Directory) SeveralVersions(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.historyAwaited || d.versions.several(service, now) || now.Before(d.mixedUntil[Key(service)])
}

// MixedServices returns the Keys of the services of which this instance itself sees, or has
// lately seen, several versions.
func (d *Directory) MixedServices(now time.Time) []uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var keys []uint64
	for service := range d.versions {
		if d.versions.several(service, now) {
			keys = append(keys, Key(service))
		}
	}
	return keys
}

// ApplyMixedServices notes the services of which another instance sees several versions. It may
// have read of a new version earlier than this one.
func (d *Directory) ApplyMixedServices(keys []uint64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, key := range keys {
		d.mixedUntil[key] = now.Add(hearsayLifetime)
	}
}

// several reports whether a service has endpoints of several versions, or had them within
// missingRetention.
func (t versionTable) several(service string, now time.Time) bool {
	current := 0
	for version, v := range t[service] {
		switch {
		case v.current(now):
			current++
		case !v.recorded:
			delete(t[service], version)
		}
	}
	return current > 1
}

package endpoint

import "time"

// serviceVersion is a software version of the endpoints of a service.
type serviceVersion struct {
	// count is the number of endpoints, those with a missing registration included.
	count int
	// lastPresent is until when the latest of those that were dropped had been present.
	lastPresent time.Time
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

// SeveralVersions reports whether endpoints of more than one software version serve a service,
// or did within missingRetention, as far as this instance or another one knows.
func (d *Directory) SeveralVersions(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.versions.several(service, now) || now.Before(d.mixedUntil[Key(service)])
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
	for version, v := range t[service] {
		if v.count == 0 && now.Sub(v.lastPresent) > missingRetention {
			delete(t[service], version)
		}
	}
	return len(t[service]) > 1
}

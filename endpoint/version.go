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

// SeveralVersions reports whether endpoints of more than one software version serve a service,
// or did within missingRetention.
func (d *Directory) SeveralVersions(service string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for version, v := range d.versions[service] {
		if v.count == 0 && now.Sub(v.lastPresent) > missingRetention {
			delete(d.versions[service], version)
		}
	}
	return len(d.versions[service]) > 1
}

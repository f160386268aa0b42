package daemon_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestProgramsAreRefusedBeforeTheyBegin guards against turns of begun programs that are refused while
// engines are full, at the front that ran their first turn or at another one, against programs that begin
// then all the same, and against fronts that refuse without the setting.
func TestProgramsAreRefusedBeforeTheyBegin(t *testing.T) {
	for _, refuseWhenFull := range []bool{false, true} {
		t.Run(fmt.Sprint("refuse ", refuseWhenFull), func(t *testing.T) {
			t.Parallel()
			s := newPlatformSite(t)
			s.refuseWhenFull = refuseWhenFull
			fronts := []*testFront{s.startFront(), s.startFront()}
			// Each front must learn by gossip that the other has started.
			time.Sleep(500 * time.Millisecond)
			program := func(id string) []string {
				return []string{"Program-Id", id, "Program-Deadline-Ms", "9000", "Token-Budget", "500", "Token-Usage", "10,60"}
			}
			status, _, body, err := fronts[0].send(t, http.MethodPost, "/survey/1", "first-turn", "x", program("begun")...)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, status, body)

			// The engines have 4 slots and hold 3 further requests each.
			full := make(chan struct{})
			for _, e := range s.engines {
				e.RespondWith(func(out http.ResponseWriter, _ *http.Request, _ string) {
					<-full
					_, _ = out.Write([]byte("id: 1\ndata: word1\n\n"))
				})
			}
			var others sync.WaitGroup
			for i := range 14 {
				others.Go(func() { _, _, _, _ = fronts[0].send(t, http.MethodPost, "/survey/1", fmt.Sprint("other-", i), "x") })
			}
			require.Eventually(t, func() bool {
				return len(s.engines[0].Executions())+len(s.engines[1].Executions()) == 15
			}, eventuallyTimeout, 10*time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			var turns sync.WaitGroup
			for i, f := range fronts {
				turns.Go(func() {
					status, _, body, err := f.send(t, http.MethodPost, "/survey/1", fmt.Sprint("next-turn-", i), "x", program("begun")...)
					if err != nil || status != http.StatusOK {
						t.Errorf("begun program at front %d: status %d, %v: %s", i, status, err, body)
					}
				})
				turns.Go(func() {
					began := time.Now()
					status, header, body, err := f.send(t, http.MethodPost, "/survey/1", fmt.Sprint("new-", i), "x", program(fmt.Sprint("new-", i))...)
					if !refuseWhenFull {
						if err != nil || status != http.StatusOK {
							t.Errorf("new program at front %d: status %d, %v: %s", i, status, err, body)
						}
						return
					}
					after, _ := strconv.ParseFloat(header.Get("Retry-After"), 64)
					if err != nil || status != http.StatusServiceUnavailable || time.Since(began) > time.Second || after <= 0 || after > 5.0/3 {
						t.Errorf("new program at front %d: status %d after %s, Retry-After %s, %v: %s", i, status, time.Since(began), header.Get("Retry-After"), err, body)
					}
				})
			}
			time.Sleep(1500 * time.Millisecond)
			close(full)
			turns.Wait()
			others.Wait()
		})
	}
}

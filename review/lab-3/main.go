// Command lab-3 plays the cases of the third review: it starts daemons as separate processes, and
// stand-ins for the platform, the servers and the requesters.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// maxLength is the longest time that a case may take.
const maxLength = 115 * time.Second

var cases = map[string]func(l *Lab) (broken bool, verdict string){
	"unframed-load":   unframedLoad,
	"long-lines":      longLines,
	"cut-answers":     cutAnswers,
	"varying-parts":   varyingParts,
	"killed-suspects": killedSuspects,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD TROUBLE")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3] != "0"))
}

// play plays a case and returns the exit status.
func play(run func(l *Lab) (bool, string), recordFile string, trouble bool) (status int) {
	l, err := newLab(recordFile, trouble)
	if err != nil {
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannotRun
	}
	defer l.close()
	go l.endOnSignal()
	defer func() {
		found := recover()
		if found == nil {
			return
		}
		if _, expected := found.(cannotRun); !expected {
			l.killDaemons()
			panic(found)
		}
		l.record("cannot run: %v", found)
		fmt.Fprintln(os.Stderr, "cannot run:", found)
		status = exitCannotRun
	}()
	broken, verdict := run(l)
	l.record("verdict: %s", verdict)
	fmt.Println(verdict)
	if broken {
		return exitBroken
	}
	return exitHeld
}

// endOnSignal ends the run and its processes early, on a signal or after maxLength.
func (l *Lab) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxLength):
	}
	l.close()
	os.Exit(exitCannotRun)
}

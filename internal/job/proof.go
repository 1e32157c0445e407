package job

import (
	"fmt"
	"strings"
)

// Phase is how far the attempt under way was seen to come, as far as that tells who may
// have ended its worker. It is kept in the row: an owner that takes over has not seen the
// attempt run, and put the end of each worker down to all that stood there.
type Phase int8

// The degrees of proof.
const (
	// PhaseStarting attempts may still be at their start, at which a program that takes its
	// host down does so.
	PhaseStarting Phase = iota
	// PhaseStarted attempts have got over it.
	PhaseStarted
	// PhaseStable attempts have been at work for so long that the ends of workers before, and
	// that of theirs, are not put down to the task.
	PhaseStable
)

// proofChars has the characters of the proofs, by their value.
const proofChars = "012"

// MarkStarted notes that an attempt got over its start, and reports whether that was news.
func (jo *Job) MarkStarted(ref TaskRef, attempt int) bool {
	return jo.prove(ref, attempt, PhaseStarted)
}

// MarkStable notes that an attempt was at work for so long that the ends of workers before it
// were not the task's doing, and reports whether that was news.
func (jo *Job) MarkStable(ref TaskRef, attempt int) bool {
	if !jo.prove(ref, attempt, PhaseStable) {
		return false
	}
	ta := jo.Task(ref)
	ta.Crashes, ta.Losses = 0, 0
	return true
}

func (jo *Job) prove(ref TaskRef, attempt int, pr Phase) bool {
	ta := jo.Task(ref)
	if ta == nil || ta.State != Started || ta.Attempt != attempt || ta.Phase >= pr {
		return false
	}
	ta.Phase = pr
	return true
}

// proofsOf returns the proofs of the started tasks in turn, a character each, or one for
// all if they are alike, or none if there is no proof.
func proofsOf(tasks []Task) string {
	var proofs strings.Builder
	for _, ta := range tasks {
		if ta.State == Started {
			_ = proofs.WriteByte(proofChars[ta.Phase])
		}
	}
	list := shorten(proofs.String())
	if list == proofChars[:1] {
		return ""
	}
	return list
}

// shorten returns one character of a text in which all are alike.
func shorten(text string) string {
	if text != "" && strings.Count(text, text[:1]) == len(text) {
		return text[:1]
	}
	return text
}

// takeProofs takes in what proofsOf returned.
func takeProofs(proofs string, tasks []Task) error {
	if proofs == "" {
		return nil
	}
	n := 0
	for i := range tasks {
		if tasks[i].State != Started {
			continue
		}
		at := min(n, len(proofs)-1)
		n++
		pr := strings.IndexByte(proofChars, proofs[at])
		if pr < 0 {
			return fmt.Errorf("%w: proof %q", errRow, proofs[at])
		}
		tasks[i].Phase = Phase(pr)
	}
	if len(proofs) > 1 && len(proofs) != n {
		return fmt.Errorf("%w: %d proofs of %d attempts", errRow, len(proofs), n)
	}
	return nil
}

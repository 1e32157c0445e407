package job

// CriticalPathMS returns the longest path through a job's steps by estimated run time, in
// milliseconds.
func (sp *Spec) CriticalPathMS() int64 {
	return sp.longestPath(func(step int) int64 { return sp.Steps[step].EstimateMS })
}

// RemainingMS returns the longest path through the steps that are not done, by the run time of
// a task of each step that expectedMS returns, in milliseconds.
func (jo *Job) RemainingMS(expectedMS func(*Step) int64) int64 {
	return jo.Spec.longestPath(func(step int) int64 {
		if jo.remaining[step] == 0 {
			return 0
		}
		return expectedMS(&jo.Spec.Steps[step])
	})
}

// longestPath returns the longest path through the steps, each of which takes the time that
// runMS returns, in milliseconds.
func (sp *Spec) longestPath(runMS func(step int) int64) int64 {
	var longest int64
	until := make([]int64, len(sp.Steps))
	for i := range sp.Steps {
		for _, before := range sp.Steps[i].After {
			until[i] = max(until[i], until[before])
		}
		until[i] += runMS(i)
		longest = max(longest, until[i])
	}
	return longest
}

// Remaining returns how many tasks of a step are not done.
func (jo *Job) Remaining(step int) int { return jo.remaining[step] }

// WaitingTasks returns how many tasks of a step may start now.
func (jo *Job) WaitingTasks(step int) int {
	if !jo.Ready(step) {
		return 0
	}
	n := 0
	for i := range jo.Tasks[step] {
		if jo.Tasks[step][i].State == Waiting {
			n++
		}
	}
	return n
}

// RemainingWork returns the estimated processor time of the tasks that are not done, in
// thousandths of a core times milliseconds. Long-running tasks are left out.
func (jo *Job) RemainingWork() int64 {
	var sum int64
	for i := range jo.Spec.Steps {
		if st := &jo.Spec.Steps[i]; !st.LongRunning {
			sum += int64(jo.remaining[i]) * st.EstimateMS * st.Each.MilliCores
		}
	}
	return sum
}

// Work returns the estimated processor time of all tasks, in thousandths of a core times
// milliseconds. Long-running tasks are left out.
func (jo *Job) Work() int64 {
	var sum int64
	for i := range jo.Spec.Steps {
		if st := &jo.Spec.Steps[i]; !st.LongRunning {
			sum += int64(st.Tasks) * st.EstimateMS * st.Each.MilliCores
		}
	}
	return sum
}

// TargetDurationMS returns how long after its submission the job should be done, in
// milliseconds.
func (jo *Job) TargetDurationMS() int64 {
	return int64(jo.Terms.Stretch*float64(jo.Spec.CriticalPathMS())) + jo.Terms.AllowanceMS
}

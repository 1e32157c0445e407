package job

// CriticalPathMS returns the longest chain of estimated run times of a job's steps, in
// milliseconds.
func (sp *Spec) CriticalPathMS() int64 {
	return sp.chain(func(int) bool { return true })
}

// RemainingMS returns the longest chain of estimated run times of the steps
// that are not done, in milliseconds.
func (jo *Job) RemainingMS() int64 {
	return jo.Spec.chain(func(step int) bool { return jo.left[step] > 0 })
}

// chain returns the longest chain of the steps that count.
func (sp *Spec) chain(counts func(step int) bool) int64 {
	var longest int64
	until := make([]int64, len(sp.Steps))
	for i := range sp.Steps {
		for _, before := range sp.Steps[i].After {
			until[i] = max(until[i], until[before])
		}
		if counts(i) {
			until[i] += sp.Steps[i].EstimateMS
		}
		longest = max(longest, until[i])
	}
	return longest
}

// RemainingWork returns the estimated processor time of the tasks that are not
// done, in thousandths of a core times milliseconds. Endless tasks count nothing.
func (jo *Job) RemainingWork() int64 {
	var sum int64
	for i := range jo.Spec.Steps {
		if st := &jo.Spec.Steps[i]; !st.Endless {
			sum += int64(jo.left[i]) * st.EstimateMS * st.Each.MilliCores
		}
	}
	return sum
}

// TargetDurationMS returns how soon after it was handed in the job should be done, in
// milliseconds.
func (jo *Job) TargetDurationMS() int64 {
	return int64(jo.Terms.Stretch*float64(jo.Spec.CriticalPathMS())) + jo.Terms.AllowanceMS
}

package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
)

const completeSettings = `{"Classes":[{"Name":"find","AimMs":2500,"DeadlineMs":2000,"Credit":1,"Repeat":"repeatable"},` +
	`{"Name":"book","AimMs":2500,"DeadlineMs":6000,"Credit":10,"LateWorth":0.3,"Repeat":"by_key","DedupScope":"zone",` +
	`"WindowMs":10000}],"Tenants":[{"Name":"acme","QuotaPerS":26}],"Zones":["a","b"],"MyZone":1,"Stage":2,` +
	`"RegistryMode":"subscribe","Rules":{"MustAskInMs":10000,"ColdFrom":0.14},"Report":{"Fields":["depth"]},` +
	`"Limits":{"MaxAttempts":5,"MaxOpen":20000,"ConnectTimeoutMs":250,"ConnIdleMs":30000,"MayCancel":true},"New":{"x":1}}`

func TestParse_ConvertsToSeconds(t *testing.T) {
	i, err := Parse([]byte(completeSettings))
	require.NoError(t, err)
	assert.Equal(t, []string{"find", "book"}, i.MethodNames)
	assert.Equal(t, 2.0, i.Methods[0].LatencyObjective, "an objective past the deadline is the deadline")
	assert.Equal(t, decide.Method{
		LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, LateWeight: 0.3,
		Idempotency: decide.Deduplicated, DedupScope: decide.ScopeZone, DedupWindow: 10,
	}, i.Methods[1])
	assert.Equal(t, []string{"acme"}, i.TenantNames)
	assert.Equal(t, 250*time.Millisecond, i.ConnectTimeout)
	assert.Equal(t, 30*time.Second, i.ServerIdleTimeout)
	assert.True(t, i.MustSubscribe && i.MayCancel)
	assert.Equal(t, []int{2, 1, 5, 1}, []int{i.Stage, i.Zone, i.MaxAttempts, i.Instances})
}

func TestParse_NamesTheFirstInvalidSetting(t *testing.T) {
	for _, x := range []struct{ text, replacement, want string }{
		{completeSettings, "no object", "settings"},
		{`"Classes":[`, `"Classless":[`, "Classes"},
		{`"DeadlineMs":6000`, `"DeadlineMs":0`, "Classes[1].DeadlineMs"},
		{`"AimMs":2500,"DeadlineMs":2000`, `"DeadlineMs":2000`, "Classes[0].AimMs"},
		{`"Credit":10`, `"Credit":-1`, "Classes[1].Credit"},
		{`"by_key"`, `"sometimes"`, "Classes[1].Repeat"},
		{`"zone"`, `"street"`, "Classes[1].DedupScope"},
		{`"WindowMs":10000`, `"WindowMs":0`, "Classes[1].WindowMs"},
		{`,"DedupScope":"zone"`, ``, "Classes[1].DedupScope is missing"},
		{`"zone"`, `""`, "Classes[1].DedupScope is missing"},
		{`"zone"`, `null`, "Classes[1].DedupScope is missing"},
		{`"subscribe"`, `"guess"`, "RegistryMode"},
		{`"MaxAttempts":5`, `"MaxAttempts":-5`, "MaxAttempts"},
		{`"ConnIdleMs":30000`, `"ConnIdleMs":-1`, "ConnIdleMs"},
		{`"ColdFrom":0.14`, `"ColdFrom":1.4`, "ColdFrom"},
		{`"MustAskInMs":10000`, `"MustAskInMs":-1`, "MustAskInMs"},
		{`"Stage":2`, `"Stage":2,"Instances":-1`, "Instances"},
		{`"Stage":2`, `"Stage":2,"Instances":100000`, "Instances is 100000, above 20000: give the number of nodes"},
		{`"Fields":["depth"]`, `"How":"shout"`, "Report.How"},
		{`"Fields":["depth"]`, `"How":"piggyback"`, "Report.Fields"},
		{`"Fields":["depth"]`, `"Fields":["a","b","c","d","e"]`, "Report.Fields"},
	} {
		t.Run(x.text+" to "+x.replacement, func(t *testing.T) {
			require.Contains(t, completeSettings, x.text)
			_, err := Parse([]byte(strings.Replace(completeSettings, x.text, x.replacement, 1)))
			assert.ErrorContains(t, err, x.want)
		})
	}
}

func TestParse_TypedErrors(t *testing.T) {
	_, err := Parse([]byte(strings.Replace(completeSettings, `"Credit":10`, `"Credit":-1`, 1)))
	var invalid *SettingError
	require.ErrorAs(t, err, &invalid)
	assert.Equal(t, SettingError{Setting: "Classes[1].Credit", Problem: "must not be negative"}, *invalid)
	_, err = Parse([]byte(strings.Replace(completeSettings, `"Stage":2`, `"Instances":100000`, 1)))
	var instances *InstancesError
	require.ErrorAs(t, err, &instances)
	assert.Equal(t, 100_000, instances.Instances)
}

func TestParse_LoadReports(t *testing.T) {
	for how, reports := range map[string]bool{"piggyback": true, "pull": false, "silent": false} {
		t.Run(how, func(t *testing.T) {
			i, err := Parse([]byte(strings.Replace(completeSettings, `"Fields":`, `"How":"`+how+`","Fields":`, 1)))
			require.NoError(t, err)
			assert.Equal(t, reports, i.LoadReports)
		})
	}
}

func TestParseLoadReport(t *testing.T) {
	i := &Instance{ReportFields: []string{"depth", "concurrent"}}
	for report, inFlight := range map[string]float64{"2,3.5": 3.5, " 2 , 3": 3, "2,-": -1, "-,0": 0, "1,-2": 0} {
		t.Run(report, func(t *testing.T) {
			l, err := i.ParseLoadReport(report)
			require.NoError(t, err)
			assert.Equal(t, &decide.LoadReport{InFlight: inFlight}, l)
		})
	}
	tooLong := "1," + strings.Repeat("0", 300)
	for _, report := range []string{"", "3", "1,2,3", "1,x", "1,NaN", "1,Inf", "1,1e300", tooLong} {
		t.Run("malformed "+report, func(t *testing.T) {
			_, err := i.ParseLoadReport(report)
			assert.Error(t, err)
		})
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(completeSettings))
	f.Add([]byte(`{"Classes":[{"DeadlineMs":1e300,"AimMs":1e300,"Repeat":"once"}],"RegistryMode":"automatic"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		i, err := Parse(text)
		if err != nil {
			return
		}
		if len(i.Methods) == 0 || i.MaxAttempts < 1 || i.Instances < 1 ||
			i.ConnectTimeout < 0 || i.ServerIdleTimeout < 0 {
			t.Fatalf("accepted %+v", i)
		}
	})
}

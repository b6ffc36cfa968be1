package settings

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"robincart/decide"
)

const whole = `{"Classes":[{"Name":"find","AimMs":2500,"DeadlineMs":2000,"Credit":1,"Repeat":"repeatable"},` +
	`{"Name":"book","AimMs":2500,"DeadlineMs":6000,"Credit":10,"LateWorth":0.3,"Repeat":"by_key","DedupScope":"zone",` +
	`"WindowMs":10000}],"Tenants":[{"Name":"acme","QuotaPerS":26}],"Zones":["a","b"],"MyZone":1,"Stage":2,` +
	`"RegistryMode":"subscribe","Rules":{"MustAskInMs":10000,"ColdFrom":0.14},"Report":{"Fields":["depth"]},` +
	`"Limits":{"MaxAttempts":5,"MaxOpen":20000,"ConnectTimeoutMs":250,"ConnIdleMs":30000,"MayCancel":true},"New":{"x":1}}`

func TestSettingsAreReadInSeconds(t *testing.T) {
	n, err := Parse([]byte(whole))
	require.NoError(t, err)
	assert.Equal(t, []string{"find", "book"}, n.MethodNames)
	assert.Equal(t, 2.0, n.Methods[0].LatencyObjective, "a target past the deadline is the deadline")
	assert.Equal(t, decide.Method{LatencyObjective: 2.5, Deadline: 6, PriorityWeight: 10, LateWeight: 0.3,
		Idempotency: decide.Deduplicated, DedupScope: decide.ScopeZone, DedupWindow: 10}, n.Methods[1])
	assert.Equal(t, []string{"acme"}, n.TenantNames)
	assert.Equal(t, 250*time.Millisecond, n.ConnectTimeout)
	assert.Equal(t, 30*time.Second, n.ServerIdleTimeout)
	assert.True(t, n.MustSubscribe && n.MayCancel)
	assert.Equal(t, []int{2, 1, 5, 1}, []int{n.Stage, n.Zone, n.MaxAttempts, n.Instances})
}

func TestTheFirstBadSettingIsNamed(t *testing.T) {
	for _, c := range [][3]string{
		{whole, "no object", "settings"},
		{`"Classes":[`, `"Classless":[`, "Classes"},
		{`"DeadlineMs":6000`, `"DeadlineMs":0`, "Classes[1].DeadlineMs"},
		{`"AimMs":2500,"DeadlineMs":2000`, `"DeadlineMs":2000`, "Classes[0].AimMs"},
		{`"Credit":10`, `"Credit":-1`, "Classes[1].Credit"},
		{`"by_key"`, `"sometimes"`, "Classes[1].Repeat"},
		{`"zone"`, `"street"`, "Classes[1].DedupScope"},
		{`"WindowMs":10000`, `"WindowMs":0`, "Classes[1].WindowMs"},
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
		require.Contains(t, whole, c[0])
		_, err := Parse([]byte(strings.Replace(whole, c[0], c[1], 1)))
		assert.ErrorContains(t, err, c[2], c[1])
	}
}

func TestALoadReportIsReadInTheOrderOfItsFields(t *testing.T) {
	for how, reports := range map[string]bool{"piggyback": true, "pull": false, "silent": false} {
		n, err := Parse([]byte(strings.Replace(whole, `"Fields":`, `"How":"`+how+`","Fields":`, 1)))
		require.NoError(t, err)
		assert.Equal(t, reports, n.LoadReports, how)
	}
	n := &Instance{ReportFields: []string{"depth", "concurrent"}}
	for report, held := range map[string]float64{"2,3.5": 3.5, " 2 , 3": 3, "2,-": -1, "-,0": 0, "1,-2": 0} {
		l, err := n.ParseLoadReport(report)
		require.NoError(t, err, report)
		assert.Equal(t, &decide.LoadReport{InFlight: held}, l, report)
	}
	for _, report := range []string{"", "3", "1,2,3", "1,x", "1,NaN", "1,Inf", "1,1e300", "1," + strings.Repeat("0", 300)} {
		_, err := n.ParseLoadReport(report)
		assert.Error(t, err, report)
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(whole))
	f.Add([]byte(`{"Classes":[{"DeadlineMs":1e300,"AimMs":1e300,"Repeat":"once"}],"RegistryMode":"automatic"}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Parse(text)
		if err != nil {
			return
		}
		if len(n.Methods) == 0 || n.MaxAttempts < 1 || n.Instances < 1 || n.ConnectTimeout < 0 || n.ServerIdleTimeout < 0 {
			t.Fatalf("took %+v", n)
		}
	})
}

package spread_test
import ("testing";"time";"github.com/savoryshift/savoryshift/coord/spread/spreadtest")
func TestTmp(t *testing.T){
 for _,n := range []int{0,1} {
 p := plan(320,15,false); p.Changes=1+n; p.Every=28*time.Second; p.Warmup=15*time.Second
 p.PatchBytes=600
 f,err:=spreadtest.Measure(p); t.Logf("%+v %v",f,err)
 }
}
func TestIdle(t *testing.T){
 f := spreadtest.New(plan(320,15,false).Options)
 f.Run(15*time.Second); f.ResetTraffic(); f.Run(10*time.Second)
 mean,mx := 0.0,0.0
 for _,h := range f.Hosts { b:=float64(h.Sent.Bytes+h.Received.Bytes)/10; mean+=b/320; mx=max(mx,b) }
 t.Log(mean,mx)
}

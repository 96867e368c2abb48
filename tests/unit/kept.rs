use super::*;

struct Nowhere;

impl Writer for Nowhere {
    fn execute(&mut self, _: &str, _: u32, _: u64, _: u64) {}
    fn cancel(&mut self, _: &str, _: u32) {}
    fn reject(&mut self, _: &str, _: u64) {}
    fn abort(&mut self, _: &str) {}
    fn wake(&mut self, _: u64, _: &str) {}
    fn subscribe(&mut self) {}
    fn probe(&mut self, _: u32) {}
    fn send_note(&mut self, _: u32, _: &str) {}
}

#[test]
fn backends_that_are_gone_stay_as_long_as_a_query_knows_them() {
    let workload = Workload {
        repeat: Repeat::Deduplicated,
        group: DedupGroup::Cell,
        window_us: 9_000_000,
        slo_us: 1_000_000,
        importance: 1.0,
        tardy_importance: 0.0,
    };
    let limits = ExecutionLimits { max_executions: 3, ..ExecutionLimits::default() };
    let cold = ColdRule::default();
    let mut balancer =
        Balancer::new(7, 1, 0, vec![workload], vec![], limits, cold, false, Deployment::default());
    let listed = |backend, phase| Listed { backend, phase, weight: 1.0, ..Listed::default() };
    for turn in 0..100 {
        let id = turn.to_string();
        let fed: Result<(), String> = balancer.round(u64::from(turn) * 1_000, &mut Nowhere, |inbox| {
            inbox.list(false, &[listed(turn, Phase::Ready), listed(turn + 900, Phase::Gone)]);
            inbox.query(&id, 0, 0, 5_000_000, None, false)
        });
        assert_eq!(fed, Ok(()));
        let fed: Result<(), String> = balancer.round(u64::from(turn) * 1_000 + 500, &mut Nowhere, |inbox| {
            inbox.list(false, &[listed(turn, Phase::Gone)]);
            Ok(())
        });
        assert_eq!((fed, balancer.fleet.len()), (Ok(()), 1), "its execution there is out");
        let fed: Result<(), String> = balancer.round(u64::from(turn) * 1_000 + 700, &mut Nowhere, |inbox| {
            inbox.outcome(&id, 0, Ended::Completed, 200, true, None);
            inbox.list(false, &[]);
            Ok(())
        });
        assert_eq!((fed, balancer.fleet.len()), (Ok(()), 0));
    }
}

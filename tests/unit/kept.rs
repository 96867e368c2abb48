use super::*;

/// Discards all decisions.
struct NullWriter;

impl Writer for NullWriter {
    fn execute(&mut self, _: &str, _: u32, _: u64, _: u64) {}
    fn cancel(&mut self, _: &str, _: u32) {}
    fn reject(&mut self, _: &str, _: u64) {}
    fn abort(&mut self, _: &str) {}
    fn wake(&mut self, _: u64, _: &str) {}
    fn subscribe(&mut self) {}
    fn probe(&mut self, _: u32) {}
    fn send_note(&mut self, _: u32, _: &str) {}
}

/// A gone backend with an execution in flight must stay until the outcome, which refers to it, and not
/// longer, or the map of backends would grow with every replaced one.
#[test]
fn gone_backends_are_kept_while_a_query_refers_to_them() {
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
        let fed: Result<(), String> = balancer.round(u64::from(turn) * 1_000, &mut NullWriter, |inbox| {
            inbox.list(false, &[listed(turn, Phase::Ready), listed(turn + 900, Phase::Gone)]);
            inbox.query(&id, 0, 0, 5_000_000, None, false)
        });
        assert_eq!(fed, Ok(()));
        let fed: Result<(), String> =
            balancer.round(u64::from(turn) * 1_000 + 500, &mut NullWriter, |inbox| {
                inbox.list(false, &[listed(turn, Phase::Gone)]);
                Ok(())
            });
        assert_eq!((fed, balancer.fleet.len()), (Ok(()), 1), "its execution there is in flight");
        let fed: Result<(), String> =
            balancer.round(u64::from(turn) * 1_000 + 700, &mut NullWriter, |inbox| {
                inbox.outcome(&id, 0, Ended::Completed, 200, true, None);
                inbox.list(false, &[]);
                Ok(())
            });
        assert_eq!((fed, balancer.fleet.len()), (Ok(()), 0));
    }
}

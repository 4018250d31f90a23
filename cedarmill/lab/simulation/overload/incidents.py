"""The named incidents of the overload simulation."""

from cedarmill.lab.simulation.overload.setup import OverloadSetup

INCIDENTS = {
    "burst": OverloadSetup(),
    "calm": OverloadSetup(peak=0.8, normal=0.8),
    "month-end": OverloadSetup(peak=3.0, lasts=20.0, length=50.0),
    "flood": OverloadSetup(peak=2.0, lasts=15.0, flood=("small", 1)),
    "flood-everywhere": OverloadSetup(peak=2.0, lasts=15.0, flood=("middle", 0)),
    "herd": OverloadSetup(
        nodes=48,
        executors=48,
        peak=0.71,
        normal=0.7,
        lasts=10.0,
        killed_node_share=0.75,
        cold_executor_share=0.5,
    ),
    "half-cold": OverloadSetup(peak=0.71, normal=0.7, lasts=10.0, cold_executor_share=0.5),
    "retry-storm": OverloadSetup(peak=2.0, retrying_hops=3),
    # Independent nodes with a fixed queue limit do not recover from this overload at a base load of 0.85.
    "outlives": OverloadSetup(normal=0.85, peak=2.0, fixed_queue_slots=20.0, length=60.0),
    "liar": OverloadSetup(peak=2.0, lasts=15.0, overstated_demand_factor=20.0),
    "keepers-gone": OverloadSetup(peak=2.0, lasts=10.0, no_replica_period=(9.0, 40.0)),
    "keepers-back": OverloadSetup(peak=2.0, lasts=12.0, no_replica_period=(9.0, 16.0)),
    "news-lost": OverloadSetup(report_loss=0.7),
    "news-late": OverloadSetup(report_delay=2.0),
    # The leader fails after half of the nodes received its threshold; a successor takes over after 4 s.
    "two-epochs": OverloadSetup(
        peak=2.0, lasts=12.0, no_replica_period=(11.6, 15.6), partial_delivery_period=(11.0, 15.6)
    ),
    "probe-storm": OverloadSetup(
        nodes=200,
        executors=1000,
        normal=0.3,
        peak=0.301,
        peak_start=2.0,
        lasts=3.0,
        length=6.0,
        drops_node_state=True,
    ),
}

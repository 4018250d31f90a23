"""The incidents that are played on the simulation of overload, by name."""

from cedarmill.lab.simulation.overload.setup import OverloadSetup

INCIDENTS = {
    "burst": OverloadSetup(),
    "calm": OverloadSetup(peak=0.8, normal=0.8),
    "month-end": OverloadSetup(peak=3.0, lasts=20.0, length=50.0),
    "flood": OverloadSetup(peak=2.0, lasts=15.0, floods=("small", 1)),
    "flood-everywhere": OverloadSetup(peak=2.0, lasts=15.0, floods=("middle", 0)),
    "herd": OverloadSetup(nodes=48, executors=48, peak=0.71, normal=0.7, lasts=10.0, killed=0.75, cold=0.5),
    "half-cold": OverloadSetup(peak=0.71, normal=0.7, lasts=10.0, cold=0.5),
    "retry-storm": OverloadSetup(peak=2.0, retrying_hops=3),
    # nodes that do not learn how many may wait: at a load of 0.85 they never come back by themselves
    "outlives": OverloadSetup(normal=0.85, peak=2.0, fixed_queue_slots=20.0, length=60.0),
    "liar": OverloadSetup(peak=2.0, lasts=15.0, demand_lie=20.0),
    "keepers-gone": OverloadSetup(peak=2.0, lasts=10.0, no_replica=(9.0, 40.0)),
    "keepers-back": OverloadSetup(peak=2.0, lasts=12.0, no_replica=(9.0, 16.0)),
    "news-lost": OverloadSetup(report_loss=0.7),
    "news-late": OverloadSetup(report_delay=2.0),
    # the leader dies when half of the nodes have heard of the threshold; another is there after 4 s
    "two-epochs": OverloadSetup(peak=2.0, lasts=12.0, no_replica=(11.6, 15.6), half_told=(11.0, 15.6)),
    "probe-storm": OverloadSetup(
        nodes=200, executors=1000, normal=0.3, peak=0.301, begins=2.0, lasts=3.0, length=6.0, forgets=True
    ),
}

import pytest

from bench.policy_sim.comparison import bounds_of
from bench.policy_sim.comparison import compare
from bench.policy_sim.comparison import SceneFigures
from bench.policy_sim.real import RealPolicy
from bench.policy_sim.runner import run_scene
from bench.policy_sim.scenes import SCENES
from bench.policy_sim.workloads import WORKLOADS

BY_NAME = {scene.name: scene for scene in SCENES}


def _run(workload, scene, seed):
    return run_scene(WORKLOADS[workload](), BY_NAME[scene], RealPolicy, seed)


def test_same_seed_gives_the_same_figures_and_another_does_not():
    one = _run('isoko', 'turns_cold', 1).figures()
    assert one == _run('isoko', 'turns_cold', 1).figures()
    assert one != _run('isoko', 'turns_cold', 2).figures()


@pytest.mark.parametrize('workload', WORKLOADS)
def test_drained_domain_gets_no_late_work_and_loses_no_run(workload):
    run = _run(workload, 'domain_leaves', 3)
    assert run.sim.stats.violations == {}
    assert run.figures()['violations.cold_overload'] == 0
    assert run.figures()['link_peak_share'] <= 1.0


def _figures(share, p95):
    return {'recomputed_share': share, 'ttft_p95_ms.all': p95}


def test_bounds_compare_with_oracle_and_best_baseline():
    result = SceneFigures(
        'isoko',
        'steady',
        {
            'wigeonmill': _figures(0.02, 900.0),
            'round_robin': _figures(0.04, 800.0),
            'prefix_affinity': _figures(0.01, 2000.0),
            'oracle': _figures(0.01, 500.0),
        },
    )
    figures = {**result.flat(), **compare(result, [result])}
    assert figures['isoko.steady.recomputed_by_oracle'] == pytest.approx(2.0)
    assert figures['isoko.steady.recomputed_by_baseline'] > 1.0
    assert figures['isoko.steady.p95_by_baseline'] > 1.0
    highs = {b.figure: b.high for b in bounds_of(result, [result])}
    assert highs['isoko.steady.wigeonmill.ttft_p95_ms.all'] == 1300.0
    assert highs['isoko.steady.recomputed_by_oracle'] == 1.25

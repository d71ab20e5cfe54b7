"""Free slots are told by turn, and used up by one request."""

from fulmarrudder.placement.vacancy import (
    ASKER_TTL_S,
    FULL_WITHIN_S,
    MAX_ASKERS,
    VACANCY_TTL_S,
    Askers,
    Vacancies,
    is_needed,
)


def test_askers_are_told_by_turn_while_they_ask():
    askers = Askers()
    for index, node in enumerate("abc"):
        askers.asked(node, float(index))
    askers.asked("a", 3.0)
    assert [askers.next(3.0) for _ in range(4)] == ["a", "b", "c", "a"]
    assert askers.next(3.0 + ASKER_TTL_S) == "a"
    assert askers.next(4.0 + ASKER_TTL_S) is None


def test_askers_are_bounded():
    askers = Askers()
    for index in range(2 * MAX_ASKERS):
        askers.asked(str(index), 0.0)
    assert len(askers.asked_at) == MAX_ASKERS


def test_calm_target_tells_nobody():
    assert not is_needed(float("-inf"), 10.0)
    assert is_needed(10.0, 10.0 + FULL_WITHIN_S)
    assert not is_needed(10.0, 10.1 + FULL_WITHIN_S)


def test_vacancy_counts_once_and_for_a_short_time():
    vacancies = Vacancies()
    vacancies.told("n1", 1.5, 10.0)
    vacancies.told("n2", 1.0, 10.0)
    assert vacancies.offer_of("n1", 10.0).slowness == 1.5
    assert vacancies.use("n1")
    assert not vacancies.use("n1")
    assert vacancies.offer_of("n1", 10.0) is None
    assert vacancies.offer_of("n2", 10.1 + VACANCY_TTL_S) is None
    assert not vacancies.by_node

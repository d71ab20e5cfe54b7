"""A request that two targets died of is refused everywhere."""

from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.call.poison import fingerprint_of, refuse_poison_request
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Strike


def strike(death, expires=100.0):
    return Strike(fingerprint="f", death=death, expires=expires)


def test_second_death_makes_a_suspect_and_time_forgives():
    facts = FactStore()
    facts.merge(strike("a/1"), 0.0)
    facts.merge(strike("a/1"), 0.0)
    assert refuse_poison_request(facts, "f", 1.0) is None
    facts.merge(strike("b/1"), 0.0)
    refusal = refuse_poison_request(facts, "f", 1.0)
    assert refusal.ran.value == "no"
    assert refuse_poison_request(facts, "other", 1.0) is None
    assert refuse_poison_request(facts, "f", 101.0) is None
    facts.expire(0.0, 101.0)
    assert not facts.strikes


def test_fingerprint_tells_requests_apart_by_what_they_carry():
    def print_of(target=b"/a", key=b"k", prefix=b"x"):
        headers = Headers(((b"idempotency-key", key),))
        head = RequestHead(method=b"POST", target=target, headers=headers)
        return fingerprint_of(head, prefix)

    assert print_of() == print_of()
    assert (
        len(
            {
                print_of(),
                print_of(b"/b"),
                print_of(key=b"l"),
                print_of(prefix=b"y"),
            }
        )
        == 4
    )

"""A request that crashed two targets is refused on every node."""

from fulmarrudder.call.message import Headers, RequestHead
from fulmarrudder.call.poison import fingerprint_of, refuse_poison_request
from fulmarrudder.membership import FactStore
from fulmarrudder.model import Strike


def strike(crash_id, expires=100.0):
    return Strike(fingerprint="f", crash_id=crash_id, expires=expires)


def test_request_is_refused_after_its_second_crash_until_strikes_expire():
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


def test_fingerprint_depends_on_target_key_and_body_prefix():
    def fingerprint(target=b"/a", key=b"k", prefix=b"x"):
        headers = Headers(((b"idempotency-key", key),))
        head = RequestHead(method=b"POST", target=target, headers=headers)
        return fingerprint_of(head, prefix)

    assert fingerprint() == fingerprint()
    assert (
        len(
            {
                fingerprint(),
                fingerprint(b"/b"),
                fingerprint(key=b"l"),
                fingerprint(prefix=b"y"),
            }
        )
        == 4
    )

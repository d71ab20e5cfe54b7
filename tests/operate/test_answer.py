"""Guards the JSON that operators' programs exchange against renames."""

import json

import pytest

from fulmarrudder.operate.admin_api import CommandModel
from fulmarrudder.operate.answer import ANSWERS
from fulmarrudder.operate.fleet import encode_statuses
from fulmarrudder.state_machine import Reason
from tests import samples


@pytest.mark.parametrize("index", range(len(samples.ANSWERS)))
def test_document_of_an_answer_stays(index, snapshot):
    answer = samples.ANSWERS[index]
    document = ANSWERS.dump(answer, json_types=True)
    assert document == snapshot(name="document")
    text = json.dumps(document)
    assert ANSWERS.load(json.loads(text)).ok == answer


def test_document_of_what_nodes_hold_stays(snapshot):
    assert json.loads(encode_statuses((samples.HELD,))) == snapshot(name="held")


def test_document_of_a_command_stays(snapshot):
    schema = CommandModel.model_json_schema()
    assert sorted(schema["properties"]) == snapshot(name="fields")


def test_reasons_of_refusals_stay(snapshot):
    assert sorted(reason.value for reason in Reason) == snapshot(name="reasons")

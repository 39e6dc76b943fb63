"""Steps of the matrix with the promises that they serve, and its cells."""

from ebonyladder.kernel.step import Step
from tests.matrix_faults import IMPOSSIBLE, Fault

REQUEST_PROMISES = "P1, P2, P3, P9, P10, P11"
# A new step must be added here, and with a prelude if statements do not reach it.
STEPS: dict[Step, str] = {
    Step.CALLER_ACCEPT: "P9, P10, P11",
    Step.KEY_CHECK: "P4, P5, P6",
    Step.TOKEN_CHECK: "P1, P4",
    Step.RATE_ADMIT: "P7",
    Step.ROUTE: "P8, P10, P12",
    Step.FORWARD: "P9, P10, P11",
    Step.QUEUE: "P10, P11",
    Step.CONNECT: "P10",
    Step.BEGIN: "P3, P10",
    Step.EXECUTE: REQUEST_PROMISES,
    Step.COMMIT: REQUEST_PROMISES,
    Step.ROLLBACK: "P3, P10",
    Step.CONFIRM: "P1, P2",
    Step.ANSWER: "P6, P9",
    Step.PEER_HELLO: "P9, P10",
    Step.PEER_CALL: "P9, P10, P11",
    Step.STORE_READ: "P14, P15",
    Step.STORE_WRITE: "P7, P14, P15",
    Step.STORE_WATCH: "P6, P14",
    Step.LEASE_TAKE: "P7",
    Step.LEASE_RENEW: "P7",
    Step.LEASE_RELEASE: "P7, P13",
    Step.GRANT: "P7",
    Step.FAILURE_DETECT: "P1, P2",
    Step.FENCE: "P1, P2",
    Step.PROMOTE: "P1, P2",
    Step.FOLLOW: "P1, P2",
    Step.SWITCHOVER: "P2, P12, P13",
    Step.CONFIG_CHECK: "P14",
    Step.CONFIG_SUBMIT: "P14",
    Step.CONFIG_SYNC: "P6, P14",
    Step.CONFIG_APPLY: "P6, P14",
    Step.MEMBERSHIP_PING: "P8, P12",
    Step.STATUS_OBSERVE: "P15",
    Step.STATUS_WRITE: "P15",
    Step.STATUS_READ: "P15",
    Step.DRAIN: "P13",
}
CELLS: list[tuple[Step, Fault]] = [
    (step, fault)
    for step in STEPS
    for fault in Fault
    if (step, fault) not in IMPOSSIBLE
]

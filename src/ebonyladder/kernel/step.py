"""Steps of multi-step operations."""

from enum import Enum


class Step(Enum):
    """Name one step of a multi-step operation.

    Errors, logs, metrics and fault tests refer to steps by these names only.
    """

    CALLER_ACCEPT = "caller-accept"
    KEY_CHECK = "key-check"
    TOKEN_CHECK = "token-check"
    RATE_ADMIT = "rate-admit"
    ROUTE = "route"
    FORWARD = "forward"
    QUEUE = "queue"
    CONNECT = "connect"
    BEGIN = "begin"
    EXECUTE = "execute"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    CONFIRM = "confirm"
    ANSWER = "answer"
    PEER_HELLO = "peer-hello"
    PEER_CALL = "peer-call"
    STORE_READ = "store-read"
    STORE_WRITE = "store-write"
    STORE_WATCH = "store-watch"
    LEASE_TAKE = "lease-take"
    LEASE_RENEW = "lease-renew"
    LEASE_RELEASE = "lease-release"
    GRANT = "grant"
    FAILURE_DETECT = "failure-detect"
    FENCE = "fence"
    PROMOTE = "promote"
    FOLLOW = "follow"
    SWITCHOVER = "switchover"
    CONFIG_CHECK = "config-check"
    CONFIG_SUBMIT = "config-submit"
    CONFIG_SYNC = "config-sync"
    CONFIG_APPLY = "config-apply"
    MEMBERSHIP_PING = "membership-ping"
    STATUS_OBSERVE = "status-observe"
    STATUS_WRITE = "status-write"
    STATUS_READ = "status-read"
    DRAIN = "drain"

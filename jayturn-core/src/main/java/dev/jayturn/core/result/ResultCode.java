package dev.jayturn.core.result;

/** Numbered outcome of a request, an operator command, a rule or a setting. */
public enum ResultCode {
    OK(0, 200, "done"),
    MALFORMED_REQUEST(1001, 400, "the request could not be parsed"),
    UNAUTHORIZED(1002, 401, "the bearer key names no customer"),
    BODY_TOO_LARGE(1003, 413, "the body exceeds the bound"),
    NO_ROUTE(1004, 404, "no rule routes this model or service"),
    KEY_REQUIRED(1005, 400, "a call that may not repeat needs an Idempotency-Key"),
    KEY_REUSED(1006, 422, "the Idempotency-Key was used with another request"),
    HEADERS_TOO_LARGE(1007, 431, "the request line or headers exceed the bound"),
    KEY_STALE(1008, 409, "the time in the Idempotency-Key is older than the retention"),
    BODY_TIMEOUT(1009, 408, "the body did not arrive in time"),
    BUDGET_SPENT(2001, 402, "the budget is spent everywhere"),
    BUDGET_UNREACHABLE(2002, 402, "no tokens of the budget can be reached from here"),
    BUDGET_UNKNOWN(2003, 402, "the budget does not exist"),
    BUDGET_ELSEWHERE(2004, 429, "tokens of the budget are left, but not in this instance's slice"),
    RATE_LIMITED(3001, 429, "the customer's request rate is over its limit"),
    CONCURRENCY_LIMITED(3002, 429, "the customer has too many requests open"),
    QUEUE_FULL(3003, 503, "the admission queue is full"),
    DEADLINE_UNREACHABLE(3004, 503, "the request cannot be served before its deadline"),
    LINK_FULL(3005, 503, "the network link of this instance is full; another one may have room"),
    MEMORY_FULL(3006, 503, "this instance has no memory for the body; another one may have"),
    HEADS_FULL(3007, 503, "this instance has no memory for the headers; another one may have"),
    NO_UPSTREAM(4001, 503, "no upstream of this service is available"),
    UPSTREAM_FAILED(4002, 502, "the upstream failed before the answer was whole"),
    UPSTREAM_TIMEOUT(4003, 504, "the upstream did not answer in time"),
    LEDGER_UNREACHABLE(4004, 503, "no ledger can record the request"),
    CONTROL_UNREACHABLE(4005, 503, "no quorum of control instances can be reached"),
    INSTANCE_SEALED(4006, 503, "this incarnation of the instance was sealed"),
    DRAINING(4007, 503, "the instance is draining"),
    NOT_READY(4008, 503, "the instance does not hold the configuration yet"),
    CALLER_GONE(4009, 499, "the caller closed the connection"),
    INTENT_CLOSED(4010, 409, "the request was settled already"),
    UPSTREAM_DECLINED(4011, 503, "the upstream did not run the request"),
    UPSTREAMS_PAUSED(4012, 503, "every upstream of this service asked for a pause"),
    PROMPT_QUARANTINED(4013, 503, "upstreams crash when they respond to a part of this prompt"),
    UPSTREAMS_LIMITED(4014, 503, "every upstream of this service is at the rate limit it named"),
    REQUEST_QUARANTINED(4015, 503, "upstreams crash when they run this request"),
    STREAM_VERSION_GONE(4016, 503, "no upstream of the version that began this stream is left"),
    STREAM_UNKNOWN(4017, 503, "it is not known which version began this stream"),
    CONNECTIONS_USED(
            4018,
            503,
            "this instance uses its part of the connections to every upstream; another one may have"
                    + " some left"),
    REGION_UNAVAILABLE(4019, 503, "no upstream is available in the regions that bind the request"),
    DATA_CENTRES_EMPTIED(
            4021,
            503,
            "the upstreams that could serve this request are in data centres that were emptied"),
    CLAIM_IN_PROGRESS(5001, 409, "a call with this key is in progress"),
    OUTCOME_UNKNOWN(5002, 409, "whether the call ran is not known"),
    OUTCOME_RECORDED(5004, 200, "the call ran before; this is its recorded answer"),
    OUTCOME_NOT_KEPT(5003, 409, "the call ran; its answer is no longer kept"),
    RULE_NO_COMMENT(6001, 400, "the rule names nobody who asked for it"),
    RULE_UNKNOWN_KIND(6002, 400, "the rule's first word is unknown"),
    RULE_UNKNOWN_KEY(6003, 400, "the rule has an unknown key"),
    RULE_BAD_VALUE(6004, 400, "a value is malformed or out of range"),
    RULE_MISSING_KEY(6005, 400, "the rule lacks a required key"),
    RULE_DUPLICATE(6006, 400, "a rule with this name stands twice"),
    RULE_UNKNOWN_REFERENCE(6007, 400, "the rule names something no rule defines"),
    VERSION_CONFLICT(6101, 409, "another change was accepted first"),
    CHANGE_ID_REUSED(6102, 409, "the change id was used for another change"),
    CREDIT_BAD_AMOUNT(6103, 400, "the amount must be from 1 to 1e15 tokens"),
    CLAIM_UNKNOWN(6104, 404, "no unresolved claim has this key"),
    OPERATOR_UNAUTHORIZED(6105, 401, "the operator token does not match"),
    NOT_FOUND(6106, 404, "there is no such thing"),
    CONFIGURATION_UNREADABLE(6201, 400, "the configuration could not be read in full"),
    CONFIGURATION_UNKNOWN_SERVICE(6202, 400, "a route names a service that is not there"),
    CONFIGURATION_ROUTE_CLASH(6203, 400, "two routes share a host and path prefix"),
    CONFIGURATION_NO_WEIGHT(6204, 400, "the weights of a route add up to 0"),
    CONFIGURATION_NO_TIMEOUT(6205, 400, "the timeout of a route is 0"),
    CONFIGURATION_SHARED_KEY(6206, 400, "two customers share a key"),
    EVACUATION_MALFORMED(
            6301, 400, "the name of the data centre is malformed, or the call has a body"),
    SETTING_UNKNOWN(7001, 400, "the setting is unknown"),
    SETTING_BAD_VALUE(7002, 400, "the setting's value is malformed or out of range"),
    SETTING_MISSING(7003, 400, "a required setting is missing"),
    SETTING_UNSAFE(7004, 400, "a port beyond loopback needs a token"),
    JOURNAL_CORRUPT(8001, 500, "a journal record before the tail fails its checksum"),
    JOURNAL_FAILED(8002, 503, "the journal can no longer make records durable");

    private final int number;
    private final int httpStatus;
    private final String text;

    ResultCode(int number, int httpStatus, String text) {
        this.number = number;
        this.httpStatus = httpStatus;
        this.text = text;
    }

    /** Returns the number that clients and operators see. */
    public int number() {
        return number;
    }

    /** Returns the HTTP status that goes with this code. */
    public int httpStatus() {
        return httpStatus;
    }

    /** Returns a one-line explanation. */
    public String text() {
        return text;
    }
}

/**
 * Claims the `Idempotency-Key` of a call in the table service before the gate dispatches the call. If an
 * earlier call with the key has a recorded result, that result is replayed. Each claim is settled afterwards:
 * with the result, or as released if the call was certainly not dispatched. Settlements are retried during
 * outages of the table service.
 */
import { createHash, randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { match } from "ts-pattern";
import { provesNotSent, type TableService, type TableWrite, type WriteCondition } from "../clients/index.js";
import {
    afterClaimRead,
    afterClaimWrite,
    afterSettleRead,
    type ClaimAttempt,
    type ClaimRead,
    type ClaimRefusal,
    type ClaimResult,
    type ClaimRow,
    type ClaimStep,
    type ClaimWriteStep,
    createByteCollector,
    isTerminalClaimStep,
    type Settlement,
    Verdict,
} from "../core/index.js";
import { createLog } from "../observability/index.js";
import type { AnswerHead, DispatchRequest } from "../rpc/index.js";
import type { AnswerSink } from "./answerSink.js";

const log = createLog("agent:claims");

export const CLAIMS_TABLE = "claims";

/** Response header that marks a replayed result. */
export const REPLAYED_HEADER = "endivewell-replayed";

export interface Claims {
    /**
     * Claims the key of a call. Returns the sink with which the call must now be dispatched, or `undefined` if
     * the attempt has already ended with a replayed result or a refusal. A call without a key keeps its sink.
     */
    claim(request: DispatchRequest, deadline: number, sink: AnswerSink): Promise<AnswerSink | undefined>;
    /** Resolves when no settlements are pending. */
    waitForSettlements(): Promise<void>;
}

/** A claim that this process wrote, or may have written if `etag` is absent. */
interface OwnClaim {
    readonly key: string;
    readonly attempt: ClaimAttempt;
    readonly etag?: string;
}

export interface ClaimsOptions {
    readonly table: TableService;
    readonly now: () => number;
    readonly sleep?: (ms: number) => Promise<unknown>;
    readonly createToken?: () => string;
}

/** How long a repeated call waits for the result of the call that holds the claim. */
const RESULT_WAIT_MS = 3000;
const RESULT_POLL_MS = 100;
const MIN_SETTLE_RETRY_MS = 250;

/** Upper bound of the backoff, so that many pending settlements don't overload a recovering table service. */
const MAX_SETTLE_RETRY_MS = 8000;

/** Outages of the table service can last for a long time, so a settlement is abandoned only after this time. */
const SETTLE_TIMEOUT_MS = 3_600_000;

/** Bounds the memory that pending settlements use during an outage. */
const MAX_PENDING_SETTLEMENTS = 2000;

/** Larger response bodies aren't recorded, because the rows of the table service are small. */
export const MAX_RECORDED_BYTES = 64 * 1024;

const RETRY_AFTER_MS = 500;

export function createClaims(options: ClaimsOptions): Claims {
    const { table, now } = options;
    const wait = options.sleep ?? (ms => sleep(ms, undefined, { ref: false }));
    const createToken = options.createToken ?? randomUUID;
    const pendingSettlements = new Set<Promise<void>>();

    async function claim(
        request: DispatchRequest,
        deadline: number,
        sink: AnswerSink,
    ): Promise<AnswerSink | undefined> {
        if (request.idempotencyKey === "") return sink;
        if (pendingSettlements.size >= MAX_PENDING_SETTLEMENTS) return refuse(sink, TOO_MANY_PENDING_REFUSAL);
        const key = request.idempotencyKey;
        let attempt: ClaimAttempt = {
            token: createToken(),
            fingerprint: computeFingerprint(request),
            deadline,
            waitUntil: now() + RESULT_WAIT_MS,
            unclearWrites: 0,
            mayTakeEffect: false,
        };

        async function write(step: ClaimWriteStep): Promise<ClaimStep> {
            const result = await put(key, { ...claimFieldsOf(attempt), state: "claimed" }, writeConditionOf(step));
            if (result.kind === "unclear") attempt = withUnclearWrite(attempt, result.cause);
            return afterClaimWrite(result);
        }

        async function read(): Promise<ClaimStep> {
            return afterClaimRead(attempt, await table.read(CLAIMS_TABLE, key), now());
        }

        let step = { kind: "insert" } as ClaimStep;
        while (!isTerminalClaimStep(step)) {
            step = await match(step)
                .with({ kind: "insert" }, { kind: "takeOver" }, write)
                .with({ kind: "read" }, read)
                .with({ kind: "wait" }, () => wait(RESULT_POLL_MS).then(read))
                .exhaustive();
        }
        return match(step)
            .with({ kind: "run" }, ({ etag }) => createSettlingSink({ key, attempt, etag }, sink))
            .with({ kind: "replay" }, ({ result }) => replay(sink, result))
            .with({ kind: "refuse" }, ({ refusal }) => {
                if (attempt.mayTakeEffect) startSettlement({ key, attempt }, { kind: "release" });
                return refuse(sink, refusal);
            })
            .exhaustive();
    }

    /** Returns a sink that settles the claim when the response ends or the call is refused. */
    function createSettlingSink(ownClaim: OwnClaim, sink: AnswerSink): AnswerSink | undefined {
        if (sink.signal.aborted) {
            startSettlement(ownClaim, { kind: "release" });
            return refuse(sink, { verdict: Verdict.notRun, reason: "the attempt was cancelled", status: 0 });
        }
        const recorder = createRecorder();
        return {
            send: frame => {
                if (frame.$case === "refused" && frame.refused.verdict === Verdict.notRun) {
                    startSettlement(ownClaim, { kind: "release" });
                }
                const result = recorder.addFrame(frame);
                if (result !== undefined) startSettlement(ownClaim, { kind: "record", result });
                return sink.signal.aborted || sink.send(frame);
            },
            waitForDrain: () => sink.signal.aborted ? Promise.resolve() : sink.waitForDrain(),
            end: () => sink.end(),
            // A dispatched call with a key runs to its end even if the caller disconnects, so that its result is
            // recorded when the caller repeats the call.
            signal: new AbortController().signal,
        };
    }

    function startSettlement(ownClaim: OwnClaim, settlement: Settlement): void {
        const task: Promise<void> = settleWithRetries(ownClaim, settlement)
            .catch((error: Error) =>
                log.warn(
                    "failed to settle the claim of key %s, which may stay claimed: %s",
                    ownClaim.key,
                    error.message,
                )
            )
            .finally(() => pendingSettlements.delete(task));
        pendingSettlements.add(task);
    }

    async function settleWithRetries({ key, attempt, etag }: OwnClaim, settlement: Settlement): Promise<void> {
        const deadline = now() + SETTLE_TIMEOUT_MS;
        let delayMs = MIN_SETTLE_RETRY_MS;
        let read: ClaimRead = etag === undefined ?
            await table.read(CLAIMS_TABLE, key) :
            { kind: "found", value: { ...claimFieldsOf(attempt), state: "claimed" }, etag };
        while (now() < deadline) {
            const step = afterSettleRead(attempt, settlement, read);
            if (step.kind === "settled") return;
            if (step.kind !== "retryLater") {
                const result = await put(key, step.row, writeConditionOf(step));
                if (result.kind === "written") return;
            }
            await wait(delayMs);
            delayMs = Math.min(2 * delayMs, MAX_SETTLE_RETRY_MS);
            read = await table.read(CLAIMS_TABLE, key);
        }
        throw new Error("timed out while the table service was unavailable");
    }

    function put(key: string, row: ClaimRow, condition: WriteCondition): Promise<TableWrite> {
        return table.write(CLAIMS_TABLE, key, row, condition);
    }

    async function waitForSettlements(): Promise<void> {
        while (pendingSettlements.size > 0) await Promise.all(pendingSettlements);
    }

    return { claim, waitForSettlements };
}

const TOO_MANY_PENDING_REFUSAL: ClaimRefusal = {
    verdict: Verdict.notRun,
    reason: "too many claims wait for the table service",
    status: 0,
};

function refuse(sink: AnswerSink, { verdict, reason, status }: ClaimRefusal): undefined {
    sink.send({ $case: "refused", refused: { verdict, reason, retryAfterMs: RETRY_AFTER_MS, status } });
    sink.end();
    return undefined;
}

function replay(sink: AnswerSink, { status, headers, body }: ClaimResult): undefined {
    // Entries accept a response head only after the admission.
    sink.send({ $case: "admitted", admitted: { loadGeneration: 0, queueLength: 0 } });
    sink.send({ $case: "head", head: { status, headers: [...headers, { name: REPLAYED_HEADER, value: "true" }] } });
    sink.send({ $case: "data", data: Buffer.from(body ?? "", "base64") });
    sink.send({ $case: "end", end: { verdict: Verdict.ran, error: "", outputTokens: 0 } });
    sink.end();
    return undefined;
}

/** Collects the frames of a response. `addFrame` returns the result to record at the end of a complete response. */
function createRecorder() {
    const recordedData = createByteCollector();
    let bodyBytes = 0;
    let head: AnswerHead | undefined;

    function addFrame(frame: Parameters<AnswerSink["send"]>[0]): ClaimResult | undefined {
        if (frame.$case === "head") head = frame.head;
        if (frame.$case === "data") {
            bodyBytes += frame.data.length;
            if (bodyBytes <= MAX_RECORDED_BYTES) recordedData.append(frame.data);
        }
        if (frame.$case !== "end" || frame.end.error !== "" || head === undefined) return undefined;
        const body = bodyBytes <= MAX_RECORDED_BYTES ? recordedData.take().toString("base64") : undefined;
        const headers = head.headers.map(({ name, value }) => ({ name, value }));
        return { status: head.status, headers, ...(body === undefined ? {} : { body }) };
    }

    return { addFrame };
}

function withUnclearWrite(attempt: ClaimAttempt, cause: Error): ClaimAttempt {
    const mayTakeEffect = attempt.mayTakeEffect || !provesNotSent(cause);
    return { ...attempt, unclearWrites: attempt.unclearWrites + 1, mayTakeEffect };
}

function claimFieldsOf({ token, fingerprint }: ClaimAttempt): Pick<ClaimRow, "token" | "fingerprint"> {
    return { token, fingerprint };
}

function writeConditionOf(step: { readonly kind: string; readonly etag?: string; }): WriteCondition {
    return step.etag === undefined ? { kind: "absent" } : { kind: "unchanged", etag: step.etag };
}

function computeFingerprint({ method, path, body }: DispatchRequest): string {
    return createHash("sha256").update(JSON.stringify([method, path])).update(body).digest("hex");
}

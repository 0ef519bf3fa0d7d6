/**
 * The verdict says whether a request may have run on a backend server. Every hop returns one with
 * each answer that isn't a success, so that the hop before it knows whether a retry is safe.
 *
 * A hop may return `notRun` only if it can prove it: it refused the request before dispatch, or the
 * connection failed before the first byte was written. Everything later is `mayHaveRun` unless the
 * next hop says otherwise.
 */
import { match } from "ts-pattern";

export const Verdict = {
    notRun: "notRun",
    mayHaveRun: "mayHaveRun",
    ran: "ran",
} as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Parses a verdict from another process. An unknown value is read as `mayHaveRun`, the safe answer. */
export function parseVerdict(text: string): Verdict {
    return text === Verdict.notRun || text === Verdict.ran ? text : Verdict.mayHaveRun;
}

/**
 * Combines the verdicts of all attempts of one request. The request is `notRun` only if every
 * attempt is, and `ran` if any attempt is.
 */
export function combineVerdicts(verdicts: readonly Verdict[]): Verdict {
    if (verdicts.includes(Verdict.ran)) return Verdict.ran;
    return verdicts.every(verdict => verdict === Verdict.notRun) ? Verdict.notRun : Verdict.mayHaveRun;
}

/** Tells whether a further attempt can't run the request twice. `idempotent` also covers keyed calls. */
export function canRetry(verdict: Verdict, idempotent: boolean): boolean {
    return match(verdict)
        .with(Verdict.notRun, () => true)
        .with(Verdict.mayHaveRun, () => idempotent)
        .with(Verdict.ran, () => false)
        .exhaustive();
}

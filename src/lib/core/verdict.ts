/**
 * Verdicts, which tell whether a request may have run on a backend server. Every hop returns a verdict with each
 * unsuccessful answer, so that the previous hop knows whether a retry is safe.
 *
 * A hop may return `notRun` only if this is certain: it refused the request before dispatch, or the connection
 * failed before the first byte was written. Any later failure is `mayHaveRun` unless the next hop reports otherwise.
 */
import { match } from "ts-pattern";

export const Verdict = {
    notRun: "notRun",
    mayHaveRun: "mayHaveRun",
    ran: "ran",
} as const;

export type Verdict = (typeof Verdict)[keyof typeof Verdict];

/** Parses a verdict from another process. Unknown values become `mayHaveRun`, the safe assumption. */
export function parseVerdict(text: string): Verdict {
    return text === Verdict.notRun || text === Verdict.ran ? text : Verdict.mayHaveRun;
}

/**
 * Combines the verdicts of all attempts of a request: `ran` if any attempt ran, `notRun` if every attempt is
 * `notRun`, and `mayHaveRun` otherwise.
 */
export function combineVerdicts(verdicts: readonly Verdict[]): Verdict {
    if (verdicts.includes(Verdict.ran)) return Verdict.ran;
    return verdicts.every(verdict => verdict === Verdict.notRun) ? Verdict.notRun : Verdict.mayHaveRun;
}

/** Returns whether a retry is safe. `idempotent` includes calls with an idempotency key. */
export function canRetry(verdict: Verdict, idempotent: boolean): boolean {
    return match(verdict)
        .with(Verdict.notRun, () => true)
        .with(Verdict.mayHaveRun, () => idempotent)
        .with(Verdict.ran, () => false)
        .exhaustive();
}

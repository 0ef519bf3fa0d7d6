/**
 * State machine of one attempt that filters the frames sent to the caller. It rejects frames of other attempts,
 * duplicate heads, data before the head and everything after the end.
 */

export type FrameKind = "admitted" | "refused" | "head" | "data" | "end";

export type AttemptPhase = "queued" | "running" | "answering" | "ended";

export interface Attempt {
    readonly id: string;
    readonly phase: () => AttemptPhase;
    /** Returns whether a frame belongs to this attempt and is valid in its current phase, and advances the phase. */
    accept(attemptId: string, kind: FrameKind): boolean;
    /** Ends the attempt; all later frames are rejected. */
    abandon(): void;
}

const NEXT_PHASE: Readonly<Record<AttemptPhase, Readonly<Partial<Record<FrameKind, AttemptPhase>>>>> = {
    queued: { admitted: "running", refused: "ended" },
    running: { refused: "ended", head: "answering" },
    answering: { data: "answering", end: "ended" },
    ended: {},
};

export function createAttempt(id: string): Attempt {
    let phase: AttemptPhase = "queued";

    function accept(attemptId: string, kind: FrameKind): boolean {
        const next = attemptId === id ? NEXT_PHASE[phase][kind] : undefined;
        if (next === undefined) return false;
        phase = next;
        return true;
    }

    return { id, phase: () => phase, accept, abandon: () => void (phase = "ended") };
}

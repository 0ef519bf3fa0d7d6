/**
 * Decides which frames of an attempt reach the caller. Frames of other attempts, second heads, data before
 * the head and everything after the end are dropped.
 */

export type FrameKind = "admitted" | "refused" | "head" | "data" | "end";

export type AttemptPhase = "queued" | "running" | "answering" | "ended";

export interface Attempt {
    readonly id: string;
    readonly phase: () => AttemptPhase;
    /** Tells whether a frame belongs to this attempt and may come now, and advances the phase. */
    accept(attemptId: string, kind: FrameKind): boolean;
    /** Abandons the attempt: every later frame is dropped. */
    abandon(): void;
}

const FOLLOWING: Readonly<Record<AttemptPhase, Readonly<Partial<Record<FrameKind, AttemptPhase>>>>> = {
    queued: { admitted: "running", refused: "ended" },
    running: { refused: "ended", head: "answering" },
    answering: { data: "answering", end: "ended" },
    ended: {},
};

export function createAttempt(id: string): Attempt {
    let phase: AttemptPhase = "queued";

    function accept(attemptId: string, kind: FrameKind): boolean {
        const next = attemptId === id ? FOLLOWING[phase][kind] : undefined;
        if (next === undefined) return false;
        phase = next;
        return true;
    }

    return { id, phase: () => phase, accept, abandon: () => void (phase = "ended") };
}

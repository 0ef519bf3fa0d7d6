/** Records events of this process for the timeline. */
import { createEventRing, createHybridClock, type TimelineEvent } from "../core/index.js";

/** About 2 MB of memory at most. */
const RING_CAPACITY = 4096;

export interface EventRecorder {
    record(kind: string, subject: string, attributes?: TimelineEvent["attributes"]): void;
    read(subject: string): TimelineEvent[];
}

export function createEventRecorder(process: string, now: () => number): EventRecorder {
    const clock = createHybridClock();
    const ring = createEventRing(RING_CAPACITY);
    return {
        record: (kind, subject, attributes = {}) => {
            ring.add({ ...clock.tick(now()), process, kind, subject, attributes });
        },
        read: subject => ring.read(subject),
    };
}

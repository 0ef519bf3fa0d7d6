/** Records events of this process in memory for the timeline. */
import { createEventRing, createHybridClock, type TimelineEvent } from "../core/index.js";

/** Maximum number of events, at most about 2 MB. */
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

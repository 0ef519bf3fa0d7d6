/** Records events of this process in memory for the timeline. */
import { createEventRing, createHybridClock, type TimelineEvent } from "../core/index.js";

/** Maximum number of recorded events; they take at most about 2 MB. The oldest ones are overwritten. */
const MAX_EVENT_COUNT = 4096;

export interface EventRecorder {
    record(kind: string, subject: string, attributes?: TimelineEvent["attributes"]): void;
    read(subject: string): TimelineEvent[];
}

export function createEventRecorder(process: string, now: () => number): EventRecorder {
    const clock = createHybridClock();
    const ring = createEventRing(MAX_EVENT_COUNT);
    return {
        record: (kind, subject, attributes = {}) => {
            ring.add({ ...clock.tick(now()), process, kind, subject, attributes });
        },
        read: subject => ring.read(subject),
    };
}

/**
 * Holds a message up without keeping what has arrived of it in small chunks. A paused message still gets the chunks that
 * are read from its connection at the same time, tens of thousands if they are small, each with over a hundred bytes of
 * its own.
 */
import type { IncomingMessage } from "node:http";
import type { Readable } from "node:stream";

/**
 * Pauses a message, or another stream, and the connection of an incomplete message. What has been read from the connection
 * by then is emitted as a last chunk. The returned function lets the connection go on; the message stays paused.
 */
export function holdMessage(message: Readable & Partial<Pick<IncomingMessage, "socket" | "complete">>): () => void {
    // A complete message no longer owns its connection.
    const ownConnection = () => message.complete === true ? undefined : message.socket;
    let isHeld = true;
    message.pause();
    ownConnection()?.pause();
    const merging = setImmediate(() => {
        // Emits everything at once, as the message is paused; but it also makes its connection go on.
        message.read();
        if (isHeld) ownConnection()?.pause();
    });
    return () => {
        isHeld = false;
        clearImmediate(merging);
        ownConnection()?.resume();
    };
}

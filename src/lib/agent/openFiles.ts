/** Caches a bounded number of open file handles, because opening a file costs more than reading a chunk. */
import { type FileHandle, open } from "node:fs/promises";

export interface OpenFiles {
    /** Calls `action` with the open file. Rejects if the file doesn't exist. */
    use<T>(path: string, action: (handle: FileHandle) => Promise<T>): Promise<T>;
    /** Closes the files in a directory and its subdirectories, each once it is no longer in use. */
    close(directory: string): void;
}

interface OpenFile {
    readonly handle: Promise<FileHandle>;
    useCount: number;
}

const MAX_OPEN_FILES = 64;

export function createOpenFiles(): OpenFiles {
    // Ordered by last use, oldest first.
    const files = new Map<string, OpenFile>();

    async function use<T>(path: string, action: (handle: FileHandle) => Promise<T>): Promise<T> {
        const file = files.get(path) ?? { handle: open(path, "r+"), useCount: 0 };
        files.delete(path);
        files.set(path, file);
        file.useCount++;
        try {
            return await action(await file.handle);
        }
        catch (error) {
            // The file may have been replaced; the next use opens it again.
            if (files.get(path) === file) files.delete(path);
            throw error;
        }
        finally {
            file.useCount--;
            if (files.get(path) !== file) closeIfIdle(file);
            closeOldest();
        }
    }

    function closeOldest(): void {
        for (const [path, file] of files) {
            if (files.size <= MAX_OPEN_FILES) return;
            if (file.useCount > 0) continue;
            files.delete(path);
            closeIfIdle(file);
        }
    }

    function close(directory: string): void {
        for (const [path, file] of files) {
            if (!path.startsWith(`${directory}/`)) continue;
            files.delete(path);
            closeIfIdle(file);
        }
    }

    return { use, close };
}

function closeIfIdle(file: OpenFile): void {
    if (file.useCount > 0) return;
    // A file that couldn't be opened doesn't need to be closed.
    file.handle.then(handle => handle.close()).catch(() => undefined);
}

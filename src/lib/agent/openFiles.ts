/** Keeps a bounded number of files open for reading and writing, because opening costs more than a read. */
import { type FileHandle, open } from "node:fs/promises";

export interface OpenFiles {
    /** Calls `use` with the open file. The file must exist. */
    use<T>(path: string, use: (handle: FileHandle) => Promise<T>): Promise<T>;
    /** Closes the files below a directory once they are no longer in use. */
    close(directory: string): void;
}

interface OpenFile {
    readonly handle: Promise<FileHandle>;
    uses: number;
}

const MAX_OPEN_FILES = 64;

export function createOpenFiles(): OpenFiles {
    // In the order of the last use, oldest first.
    const files = new Map<string, OpenFile>();

    async function use<T>(path: string, action: (handle: FileHandle) => Promise<T>): Promise<T> {
        const file = files.get(path) ?? { handle: open(path, "r+"), uses: 0 };
        files.delete(path);
        files.set(path, file);
        file.uses++;
        try {
            return await action(await file.handle);
        }
        catch (error) {
            // The file may have been replaced; the next use opens it again.
            if (files.get(path) === file) files.delete(path);
            throw error;
        }
        finally {
            file.uses--;
            if (files.get(path) !== file) closeIdle(file);
            closeOldest();
        }
    }

    function closeOldest(): void {
        for (const [path, file] of files) {
            if (files.size <= MAX_OPEN_FILES) return;
            if (file.uses > 0) continue;
            files.delete(path);
            closeIdle(file);
        }
    }

    function close(directory: string): void {
        for (const [path, file] of files) {
            if (!path.startsWith(`${directory}/`)) continue;
            files.delete(path);
            closeIdle(file);
        }
    }

    return { use, close };
}

function closeIdle(file: OpenFile): void {
    if (file.uses > 0) return;
    // A file that could not be opened needs no closing.
    file.handle.then(handle => handle.close()).catch(() => undefined);
}

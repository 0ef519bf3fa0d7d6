/** Exit codes of all commands, documented in docs/operator/commands.md. */
export const ExitCode = {
    success: 0,
    failed: 1,
    usage: 2,
    conflict: 3,
    unreachable: 4,
} as const;

export type ExitCode = (typeof ExitCode)[keyof typeof ExitCode];

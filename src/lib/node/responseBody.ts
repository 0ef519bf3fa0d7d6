/** Tells which HTTP responses have a body, whatever their headers say (RFC 9112, section 6.3). */
export function hasResponseBody(method: string | undefined, status: number | undefined): boolean {
    return method !== "HEAD" && status !== 204 && status !== 304;
}

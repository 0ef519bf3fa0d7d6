export * from "./entry.js";

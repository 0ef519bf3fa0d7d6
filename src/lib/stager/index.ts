export * from "./stager.js";

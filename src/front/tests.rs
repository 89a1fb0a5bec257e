mod answers;
mod callers;
mod harness;
mod parsing;
mod refusals;

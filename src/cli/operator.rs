//! Entry point of the operators' program.

use std::process::ExitCode;

use super::args::{Args, CommandArgs};
use super::commands::{self, CommandError};
use super::exit_codes::Exit;
use super::output::Output;

/// Runs the command that the arguments name, and returns its exit code.
#[must_use]
pub fn run() -> ExitCode {
    let args: Args = argh::from_env();
    let output = Output::new(args.json);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(dispatch(args.command, output)),
        Err(error) => Err(CommandError::System(error)),
    };
    match result {
        Ok(exit) => exit.into(),
        Err(error) => {
            output.error(&error.to_string());
            error.exit().into()
        }
    }
}

async fn dispatch(command: CommandArgs, output: Output) -> Result<Exit, CommandError> {
    match command {
        CommandArgs::Check(args) => commands::check(&args, output),
        CommandArgs::Publish(args) => commands::publish(&args, output).await,
        CommandArgs::Current(args) => commands::current(&args, output).await,
        CommandArgs::Out(args) => {
            commands::set_data_centre_state(
                &args.log,
                &args.data_centre,
                "out",
                &args.author,
                output,
            )
            .await
        }
        CommandArgs::Back(args) => {
            commands::set_data_centre_state(
                &args.log,
                &args.data_centre,
                "in",
                &args.author,
                output,
            )
            .await
        }
        CommandArgs::Show(args) => commands::show(&args, output).await,
        CommandArgs::Explain(args) => commands::explain(&args, output).await,
        CommandArgs::HashKey(_) => commands::hash_key(output),
    }
}
